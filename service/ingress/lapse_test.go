package ingress_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/platform"
	"github.com/hyssopreel/hyssopreel/standin/objects"
)

var _ = Describe("Hosts whose store answers nothing for some seconds", func() {
	// Guards against the loss of all servers at once: their entries lapse while they can't write them, and the watches that
	// waited through the outage deliver the deletions at its end. Guards against servers that stay in use for good too.
	It("keep using the servers whose entries lapsed until these are back, and those that are gone for 2 s", func() {
		store := objects.New()
		putConfig(store, 1)
		serve := func(w http.ResponseWriter, _ *http.Request, _ int) { streamEvents(w, 1, 2) }
		back, gone := newBackend("i-1", serve), newBackend("i-2", serve)
		putServer(store, back, "ready")
		putServer(store, gone, "ready")
		hosts := startHosts(store, "a-1", "b-1", "c-1")
		call := func(n int) int { return hosts[n%3].call("POST", "/turns/ok", "ok").status }
		Eventually(func() int { return call(0) }, "3s").Should(Equal(200))
		for _, h := range hosts {
			h.gate.setSilent(true)
		}
		time.Sleep(3500 * time.Millisecond) // servers write their entries every 1.2 s; three that are missing end an entry
		store.Delete(platform.KindServers, back.id)
		store.Delete(platform.KindServers, gone.id)
		for _, h := range hosts {
			h.gate.setSilent(false)
		}
		returned := time.Now()
		for n := 0; time.Since(returned) < 1200*time.Millisecond; n++ {
			Expect(call(n)).To(Equal(200))
		}
		putServer(store, back, "ready")
		time.Sleep(time.Until(returned.Add(4 * time.Second)))
		before := len(gone.requests())
		for n := range 30 {
			Expect(call(n)).To(Equal(200))
		}
		Expect(gone.requests()).To(HaveLen(before))
	})
})
