package ingress_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/core/placement"
	"github.com/hyssopreel/hyssopreel/service/ingress"
	"github.com/hyssopreel/hyssopreel/standin/objects"
)

// Guards against a server in need that gets more requests than it takes, and one that fails and is chosen again, because
// its entry lapsed in an outage of the store and came back.
func TestServerIsRememberedWhileItsEntryIsMissing(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	servers := ingress.NewServers(func() time.Time { return now }, nil)
	info := placement.Server{ID: "i-1", Service: "s", Address: "10.0.0.1:80", Slots: 4, StartedAtMS: 7}
	query := ingress.PlacementQuery{Service: "s", MaxConns: 20}
	acquire := func() *ingress.AcquiredServer { return servers.Acquire(query, placement.DefaultPolicy()) }
	servers.Put(info)
	server := acquire()
	server.RecordRateLimit(now, 200, ingress.ResponseMetadata{RateLimited: true, RateLimit: 1, HasServerStamp: true})
	server.RecordConnectFailure(io.ErrUnexpectedEOF)
	servers.Remove("i-1", "entry deleted")
	g.Expect(servers.CountAvailable("s")).To(BeZero())
	servers.Put(info)
	g.Expect(servers.RateLimits()).To(HaveLen(1))
	g.Expect(acquire()).To(BeNil(), "it is ejected still")
	g.Expect(servers.InFlightByServer()).To(HaveKeyWithValue("i-1", 1), "the request is still there")
	server.Release()
	g.Expect(servers.InFlightByServer()).To(BeEmpty())

	servers.Remove("i-1", "entry deleted")
	restarted := info
	restarted.StartedAtMS = 8
	servers.Put(restarted)
	g.Expect(servers.RateLimits()).To(BeEmpty())
	g.Expect(acquire()).NotTo(BeNil(), "another start has failed in nothing")

	servers.Remove("i-1", "entry deleted")
	now = now.Add(6 * time.Minute)
	servers.Sweep()
	servers.Put(restarted)
	g.Expect(servers.InFlightByServer()).To(BeEmpty(), "it is forgotten")
}

var _ = Describe("A server whose entry is deleted while the store answers", func() {
	// Guards against a server that has left and stays in use, because hosts that have waited for a change for some time take
	// its deletion for a consequence of an outage.
	It("gets no new requests within the drain bound", func() {
		store := objects.New()
		putConfig(store, 1)
		serve := func(w http.ResponseWriter, _ *http.Request, _ int) { streamEvents(w, 1, 2) }
		leaving, staying := newBackend("i-1", serve), newBackend("i-2", serve)
		putServer(store, leaving, "ready")
		putServer(store, staying, "ready")
		hosts := startHosts(store, "a-1", "b-1", "c-1")
		time.Sleep(3 * time.Second) // longer than the silence that counts as an outage
		store.Delete("servers", leaving.id)
		time.Sleep(1500 * time.Millisecond)
		before := len(leaving.requests())
		for n := range 30 {
			Expect(hosts[n%3].call("POST", "/turns/ok", "ok").status).To(Equal(200))
		}
		Expect(leaving.requests()).To(HaveLen(before))
	})
})
