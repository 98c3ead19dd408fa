package ingress_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/settings"
	"github.com/hyssopreel/hyssopreel/platform"
	"github.com/hyssopreel/hyssopreel/service/turns"
	"github.com/hyssopreel/hyssopreel/standin/objects"
)

// runningDisk is a host with a disk that runs in the test's process.
type runningDisk struct {
	settings *settings.EntryHost
	store    *objects.Store
	stop     context.CancelFunc
	done     chan error
}

func (d *runningDisk) start() {
	ctx, stop := context.WithCancel(context.Background())
	d.stop, d.done = stop, make(chan error, 1)
	store := platform.NewStore(d.settings.Platform.Address, d.settings.Platform.Timeout, d.settings.Platform.MaxWatchWait)
	host := turns.NewHost(d.settings, store)
	go platform.ConfirmRetirements(ctx, store, d.settings.Host.Name, host.Retire)
	go func() { d.done <- host.Run(ctx) }()
}

// kill ends the host. Its entry stays in the store.
func (d *runningDisk) kill() {
	d.stop()
	Eventually(d.done, "10s").Should(Receive(BeNil()))
	d.done <- nil
}

func (d *runningDisk) view() api.DiskView {
	var v api.DiskView
	resp, err := http.Get("http://" + d.settings.Listen.Metrics + "/v1/turns")
	if err == nil {
		defer func() { _ = resp.Body.Close() }()
		_ = json.NewDecoder(resp.Body).Decode(&v)
	}
	return v
}

// kinds returns the kinds of objects that an entry host follows.
func (r *runningHost) kinds() []string {
	var v api.FleetView
	resp, err := http.Get("http://" + r.settings.Listen.Metrics + "/v1/fleet")
	if err == nil {
		defer func() { _ = resp.Body.Close() }()
		_ = json.NewDecoder(resp.Body).Decode(&v)
	}
	var out []string
	for _, k := range v.Kinds {
		out = append(out, k.Kind)
	}
	return out
}

func startDisk(store *objects.Store, storeAddress, name string, firstStart bool) *runningDisk {
	s := &settings.EntryHost{}
	s.Host.Name, s.Host.FailureDomain, s.Host.Region, s.Host.FirstStart = name, name[:1], "r", firstStart
	s.Listen.Peer, s.Listen.Metrics = freeAddress(), freeAddress()
	s.Platform.Address, s.Platform.Timeout, s.Platform.MaxWatchWait = storeAddress, 500*time.Millisecond, 20*time.Second
	s.Limits.MemoryBytes, s.Disk.Bytes = 128<<20, 256<<20
	s.Disk.Path = filepath.Join(GinkgoT().TempDir(), name)
	s.Promises.TolerableHostLosses = 2
	d := &runningDisk{settings: s, store: store}
	d.start()
	DeferCleanup(func() { d.kill() })
	Eventually(func() []string { return store.Names(turns.KindDiskHosts) }, "5s").Should(ContainElement(name))
	return d
}

var _ = Describe("Retained turns", func() {
	var store *objects.Store
	var b *backend
	var host *runningHost
	var disks []*runningDisk
	var mu sync.Mutex
	var bodies []string
	var lastEventIDs []string

	lastBody := func() string {
		mu.Lock()
		defer mu.Unlock()
		return bodies[len(bodies)-1]
	}

	putRetainingConfig := func(version int) {
		store.Put(platform.KindConfig, platform.ConfigName, map[string]any{
			"version": version, "routes": []any{map[string]any{
				"name": "turns", "host": "h", "pathPrefix": "/turns/", "kind": "streaming", "timeoutMs": 3000, "service": "s", "resumable": true,
				"retentionS": 60, "retain": true,
			}},
			"services": []any{map[string]any{"name": "s", "maxConns": 100, "engine": map[string]any{"strideTokens": 10}}},
		})
	}

	retainedTurn := func(program, attempt, previous, input string) response {
		headers := []string{"Hyssopreel-Attempt-Id", attempt, "Hyssopreel-Program-Id", program}
		if previous != "" {
			headers = append(headers, "Hyssopreel-Previous-Turn", previous)
		}
		return host.call("POST", "/turns/", input, headers...)
	}

	BeforeEach(func() {
		store = objects.New()
		bodies, lastEventIDs, disks = nil, nil, nil
		b = newBackend("i-1", func(w http.ResponseWriter, r *http.Request, n int) {
			body, _ := io.ReadAll(r.Body)
			mu.Lock()
			bodies, lastEventIDs = append(bodies, string(body)), append(lastEventIDs, r.Header.Get("Last-Event-Id"))
			mu.Unlock()
			w.Header().Set("Content-Type", "text/event-stream")
			for i := 1; i <= 3; i++ {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: out%d-%d\n\n", i, n, i)
			}
		})
		putRetainingConfig(1)
		putServer(store, b, "ready")
		host = startHostWith(store, "a-1", func(s *settings.EntryHost) { s.Promises.TolerableHostLosses = 2 })
		DeferCleanup(func() { host.stop() })
		for _, name := range []string{"a-d1", "b-d1", "c-d1"} {
			disks = append(disks, startDisk(store, host.settings.Platform.Address, name, true))
		}
		Eventually(host.ready, "5s").Should(BeTrue())
		Eventually(func() int { return retainedTurn("warm", "warm", "", "x").status }, "5s").Should(Equal(200))
	})

	// Guards against turns that reach the server without the turns before them, or in another order.
	It("reach the server with the inputs and outputs of the turns before", func() {
		Expect(retainedTurn("p", "t1", "", "one;").status).To(Equal(200))
		first := len(bodies)
		Expect(retainedTurn("p", "t2", "t1", "two;").status).To(Equal(200))
		Expect(lastBody()).To(Equal(fmt.Sprintf("one;out%d-1\nout%d-2\nout%d-3\ntwo;", first, first, first)))
		// Two turns may continue the same one, also in another program.
		Expect(retainedTurn("p", "t3", "t1", "three;").status).To(Equal(200))
		Expect(lastBody()).To(HaveSuffix("-3\nthree;"))
		Expect(lastBody()).NotTo(ContainSubstring("two;"))
		Expect(retainedTurn("q", "t4", "t2", "four;").status).To(Equal(200))
		Expect(lastBody()).To(MatchRegexp(`(?s)^one;.*-3\ntwo;.*-3\nfour;$`))
		for _, d := range disks {
			Expect(d.view().Turns).To(Equal(5), "each host has a copy of each turn")
		}
	})

	// Guards against a program that is ended by 404 although its turn is retained by a host that does not answer.
	It("are refused with 404 only if all hosts have answered", func() {
		Expect(retainedTurn("p", "t1", "never", "x").status).To(Equal(404))
		disks[2].kill()
		Expect(retainedTurn("p", "t2", "never", "x").status).To(Equal(503))
	})

	// Guards against a completed response of a turn that is on fewer disks than may be lost.
	It("are not completed without enough copies", func() {
		Expect(retainedTurn("p", "t1", "", "one;").status).To(Equal(200))
		disks[1].kill()
		a := retainedTurn("p", "t2", "t1", "two;")
		Expect(a.err != nil || a.status == 503).To(BeTrue(), "%+v", a)
		Eventually(func() int { return retainedTurn("p", "t3", "t1", "three;").status }, "1s").Should(Equal(503))
		disks[1].start()
		Eventually(func() int { return retainedTurn("p", "t4", "t1", "four;").status }, "5s").Should(Equal(200))
	})

	// Guards against costs where no route retains turns: a watch of the hosts with a disk, and their connections.
	It("cost nothing while no route asks for them", func() {
		Expect(host.kinds()).To(ContainElement(turns.KindDiskHosts))
		plain := objects.New()
		putConfig(plain, 1)
		other := startHost(plain, "a-2")
		DeferCleanup(func() { other.stop() })
		Eventually(other.ready, "5s").Should(BeTrue())
		Consistently(other.kinds, "1s").ShouldNot(ContainElement(turns.KindDiskHosts))
	})

	// Guards against a program that is lost because programs with other histories said the same at servers that ended.
	It("are not taken for those of other programs with the same input", func() {
		for _, p := range []string{"p1", "p2", "p3"} {
			Expect(retainedTurn(p, p+"-first", "", "the history of "+p).status).To(Equal(200))
		}
		say := func(p string) func() int {
			return func() int { return retainedTurn(p, p+"-next", p+"-first", "yes").status }
		}
		last := b.id
		replaceBy := func(next *backend) {
			putServer(store, next, "ready")
			store.Delete(platform.KindServers, last)
			last = next.id
		}
		replaceBy(startMortalServer("i-2"))
		Eventually(say("p1"), "3s").Should(Equal(502))
		replaceBy(startMortalServer("i-3"))
		Eventually(say("p2"), "3s").Should(Equal(502))
		replaceBy(b)
		Eventually(say("p3"), "3s").Should(Equal(200))
	})

	// Guards against turns that are lost with the memory of the processes.
	It("survive the end of all processes", func() {
		Expect(retainedTurn("p", "t1", "", "one;").status).To(Equal(200))
		for _, d := range disks {
			d.kill()
		}
		for _, d := range disks {
			d.start()
		}
		Eventually(func() int { return retainedTurn("p", "t2", "t1", "two;").status }, "10s").Should(Equal(200))
		Expect(lastBody()).To(MatchRegexp(`(?s)^one;.*-3\ntwo;$`))
	})

	// Guards against a record without the events that the caller has had from an earlier attempt.
	It("are retained whole if the caller resumes a stream", func() {
		a := host.call("POST", "/turns/", "one;", "Hyssopreel-Attempt-Id", "t1", "Hyssopreel-Program-Id", "p", "Last-Event-Id", "2")
		Expect(a.status).To(Equal(200))
		Expect(strings.Count(a.body, "data:")).To(Equal(1), "only the event after the last one that the caller has: %q", a.body)
		Expect(lastEventIDs[len(lastEventIDs)-1]).To(BeEmpty())
		Expect(retainedTurn("p", "t2", "t1", "two;").status).To(Equal(200))
		Expect(lastBody()).To(MatchRegexp(`(?s)^one;out\d+-1\nout\d+-2\nout\d+-3\ntwo;$`))
	})
})
