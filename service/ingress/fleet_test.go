package ingress_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/wire"
	"github.com/hyssopreel/hyssopreel/platform"
	"github.com/hyssopreel/hyssopreel/standin/objects"
)

// hostsPerDomain is more than twice the number of hosts of a failure domain that have a role.
const hostsPerDomain = 7

// sources returns where the host reads each kind of objects from.
func (r *runningHost) sources() []string {
	var out []string
	for _, k := range r.fleetView().Kinds {
		out = append(out, k.Source)
	}
	return out
}

// fleetView returns the host's view of the fleet; empty if the host does not answer.
func (r *runningHost) fleetView() (view api.FleetView) {
	resp, err := http.Get("http://" + r.settings.Listen.Metrics + "/v1/fleet")
	if err != nil {
		return view
	}
	defer func() { _ = resp.Body.Close() }()
	_ = json.NewDecoder(resp.Body).Decode(&view)
	return view
}

var _ = Describe("Hosts of a large failure domain", func() {
	var store *objects.Store
	var b *backend
	var hosts []*runningHost

	// The first two hosts by name watch the store, the first three account for programs and serve callers.
	BeforeEach(func() {
		store = objects.New()
		b = newBackend("i-1", func(w http.ResponseWriter, _ *http.Request, _ int) { streamEvents(w, 1, 20) })
		putConfig(store, 1)
		putServer(store, b, "ready")
		hosts = nil
		for i := range hostsPerDomain {
			hosts = append(hosts, startHost(store, fmt.Sprintf("a-%d", i+1)))
		}
		DeferCleanup(func() {
			for _, h := range hosts {
				h.stop()
			}
		})
		for _, h := range hosts {
			Eventually(h.ready, "8s").Should(BeTrue())
			Eventually(h.directory, "8s").Should(ConsistOf(hosts[0].address, hosts[1].address, hosts[2].address))
		}
		watchers := []string{hosts[0].settings.Listen.Peer, hosts[1].settings.Listen.Peer}
		for _, h := range hosts[2:] {
			Eventually(h.sources, "8s").Should(HaveEach(BeElementOf(watchers)), "sources of host %s", h.settings.Host.Name)
		}
	})

	// Guards against calls on the store that grow with the fleet, and against followers that miss changes.
	It("apply changes within a second, while only two of them call the store", func() {
		time.Sleep(time.Second) // the last lists of the start
		before := make([]int64, len(hosts))
		for i, h := range hosts {
			before[i] = h.gate.calls.Load()
		}
		putConfig(store, 2)
		for _, h := range hosts {
			Eventually(func() int { return h.call("GET", "/v2/", "").status }, "1s", "20ms").Should(Equal(200))
			Expect(h.call("GET", "/v1/", "").status).To(Equal(404))
		}
		store.Delete(platform.KindServers, b.id)
		for _, h := range hosts {
			Eventually(func() int { return h.call("GET", "/v2/", "").status }, "1s", "20ms").Should(Equal(503))
		}
		for i, h := range hosts[2:] {
			Expect(h.gate.calls.Load()).To(Equal(before[i+2]), "calls of host %s", h.settings.Host.Name)
		}
	})

	// Guards against a fleet that stays behind because its watchers are connected to the store and get no changes.
	It("apply a change while the watches of the watchers are stale", func() {
		store.SetFaults(objects.Faults{StaleWatches: true})
		putConfig(store, 2)
		for _, h := range hosts {
			Eventually(func() int { return h.call("GET", "/v2/", "").status }, "3s", "20ms").Should(Equal(200))
		}
	})

	// Guards against followers that are left alone when all watchers of their failure domain stop together.
	It("follow other hosts when the watchers are stopped", func() {
		for _, h := range hosts[:2] {
			h.stop()
		}
		for _, h := range hosts[2:] {
			Eventually(h.directory, "2s", "20ms").ShouldNot(Or(ContainElement(hosts[0].address), ContainElement(hosts[1].address)))
		}
		putConfig(store, 2)
		for _, h := range hosts[2:] {
			Eventually(func() int { return h.call("GET", "/v2/", "").status }, "2s", "20ms").Should(Equal(200))
		}
	})

	// Guards against callers that are sent to a host that stops, because the deletion of its entry does not reach the
	// store.
	It("leave a host that stops out of all directories at once, also while the store is unavailable", func() {
		for _, h := range hosts {
			h.gate.closed.Store(true)
		}
		hosts[2].stop()
		for _, h := range slices.Concat(hosts[:2], hosts[3:]) {
			Eventually(h.directory, "1s", "20ms").ShouldNot(ContainElement(hosts[2].address))
		}
	})

	// Guards against programs that exceed their budget because standby hosts account for them too.
	It("keep a program within its budget, whichever hosts it uses", func() {
		allowed := 0
		for i := range 14 {
			if hosts[i%len(hosts)].turn("p", fmt.Sprintf("t%d", i)) == 200 {
				allowed++
			}
		}
		Expect(allowed).To(And(BeNumerically(">=", 2), BeNumerically("<=", 4)))
		// The refusal is temporary until the hosts, which have just started, know that none of them can have used more.
		attempt := 0
		Eventually(func() int {
			attempt++
			status := hosts[0].turn("p", fmt.Sprint("again-", attempt))
			if status == 200 {
				allowed++
			}
			return status
		}, "8s", "200ms").Should(Equal(402))
		Expect(allowed).To(Equal(3), "turns of 200 tokens while some of 580 are left")
		for _, h := range hosts {
			Expect(h.turn("p", "again-"+h.settings.Host.Name)).To(Equal(402))
		}
	})

	// Guards against a message of a peer that cannot be decoded and changes something or ends the host.
	It("ignore malformed messages of a peer", func(ctx SpecContext) {
		peer := wire.NewNode(wire.Options{ProcessName: "malformed"})
		DeferCleanup(peer.Close)
		for _, kind := range []wire.Type{wire.TypeEntryHeartbeat, wire.TypeFollow, wire.TypeReserve, wire.TypeSettle, wire.TypeTransferAccounts, wire.TypeRecallAccount, wire.TypeStoreRelay, wire.TypeConfirm, wire.TypeQuota} {
			for _, body := range []any{"text", 7, []byte{0xc1}, map[string]any{"Host": 3, "InFlight": "x"}, nil} {
				callCtx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
				_ = peer.Call(callCtx, hosts[0].settings.Listen.Peer, kind, body, nil)
				_ = peer.Send(callCtx, hosts[0].settings.Listen.Peer, kind, body)
				cancel()
			}
		}
		Expect(hosts[0].ready()).To(BeTrue())
		Expect(hosts[0].turn("q", "t")).To(Equal(200))
		Expect(hosts[1].directory()).To(ContainElement(hosts[0].address))
	}, SpecTimeout(60*time.Second))
})
