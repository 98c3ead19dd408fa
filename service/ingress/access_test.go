package ingress_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/common/settings"
	"github.com/hyssopreel/hyssopreel/common/wire"
	"github.com/hyssopreel/hyssopreel/core/routing"
	"github.com/hyssopreel/hyssopreel/platform"
	"github.com/hyssopreel/hyssopreel/service/ingress"
	"github.com/hyssopreel/hyssopreel/standin/objects"
)

const (
	blueKey    = "blue-secret-5f1c"
	redKey     = "red-secret-83aa"
	unknownKey = "unknown-secret-77d0"
	teamHeader = "Hyssopreel-Tenant"
)

// teamsTable returns a configuration with teams and a route without keys. A host opens MinConnectionsPerServer connections
// to each server.
func teamsTable(version uint64, teams ...routing.Team) *routing.Table {
	to := []routing.WeightedService{{Service: "s", Weight: 1}}
	return routing.NewTable(version, []routing.Route{
		{Name: "once", Host: "h", PathPrefix: "/once/", Kind: routing.NonIdempotent, Timeout: 5 * time.Second, Priority: 5, Targets: to},
		{Name: "turns2", Host: "h", PathPrefix: "/turns2/", Kind: routing.Stream, Timeout: 5 * time.Second, MaxServers: 2, Resumable: true, Targets: to},
		{Name: "open", Host: "h", PathPrefix: "/open/", Kind: routing.Idempotent, Timeout: 5 * time.Second, Anonymous: true, Targets: to},
	}, []routing.Service{{Name: "s", MaxConns: 1}}, routing.Limits{MaxBodyBytes: 1000}).WithTeams(teams)
}

func team(name, key string) routing.Team {
	return routing.Team{Name: name, Keys: []routing.KeyID{routing.NewKeyID(key)}}
}

func bearer(key string) []string { return []string{"Authorization", "Bearer " + key} }

var _ = Describe("API keys", func() {
	var b *backend
	var h *testIngress
	BeforeEach(func() {
		b = newBackend("i-1", func(w http.ResponseWriter, r *http.Request, _ int) { _, _ = io.WriteString(w, "done") })
		h = newTestIngress(b)
		h.in.SetTable(teamsTable(1, team("blue", blueKey), team("red", redKey)), "test")
	})

	// Guards against requests without a valid key that reach a server.
	It("refuse requests without a known key, before anything is sent", func() {
		for _, header := range [][]string{nil, bearer(unknownKey), {"Authorization", "Basic " + blueKey}, {"Authorization", blueKey}, bearer("")} {
			r := h.call("GET", "/once/", "", header...)
			Expect(r.status).To(Equal(401), "%v", header)
			Expect(r.header.Get("WWW-Authenticate")).To(Equal("Bearer"))
		}
		Expect(b.requests()).To(BeEmpty())
	})

	// Guards against callers that name another team than their own, and against a key that reaches a server.
	It("name the team to the server in place of the key", func() {
		for _, path := range []string{"/once/", "/open/"} {
			Expect(h.call("GET", path, "", append(bearer(blueKey), teamHeader, "red")...).status).To(Equal(200))
			received := b.requests()
			Expect(received[len(received)-1].Values(teamHeader)).To(Equal([]string{"blue"}))
		}
		Expect(h.call("GET", "/open/", "", teamHeader, "red").status).To(Equal(200))
		Expect(h.call("GET", "/open/", "", bearer(unknownKey)...).status).To(Equal(200))
		for _, header := range b.requests() {
			Expect(header).NotTo(HaveKey("Authorization"))
		}
		Expect(b.requests()[2]).NotTo(HaveKey(teamHeader))
		Expect(b.requests()[3]).NotTo(HaveKey(teamHeader))
	})

	It("change nothing in a configuration without teams", func() {
		h.in.SetTable(teamsTable(2), "test")
		Expect(h.call("GET", "/once/", "", append(bearer("any"), teamHeader, "any")...).status).To(Equal(200))
		Expect(b.requests()[0].Get("Authorization")).To(Equal("Bearer any"))
		Expect(b.requests()[0].Get(teamHeader)).To(Equal("any"))
	})

	Context("while the server takes no more requests", func() {
		var release chan struct{}
		var statuses chan int
		send := func(key string, waiting int) {
			go func() { statuses <- h.call("POST", "/once/", "", bearer(key)...).status }()
			Eventually(func() int { return h.servers.WaitingRequests() }, "2s", "1ms").Should(Equal(waiting))
		}
		BeforeEach(func() {
			release, statuses = make(chan struct{}), make(chan int, 10)
			b = newBackend("i-2", func(http.ResponseWriter, *http.Request, int) { <-release })
			h = newTestIngress(b)
			urgent := team("blue", blueKey)
			urgent.HasPriority, urgent.Priority = true, 1
			h.in.SetTable(teamsTable(1, urgent, team("red", redKey)), "test")
			for i := range ingress.MinConnectionsPerServer {
				send(redKey, 0)
				Eventually(b.requests, "2s", "1ms").Should(HaveLen(i + 1))
			}
		})

		// Guards against a request that was admitted with a key and runs after it was revoked, because it waited.
		It("are checked again when a request that waited is sent", func() {
			send(blueKey, 1)
			h.in.SetTable(teamsTable(2, team("red", redKey)), "test")
			close(release)
			results := map[int]int{}
			for range ingress.MinConnectionsPerServer + 1 {
				results[<-statuses]++
			}
			Expect(results).To(Equal(map[int]int{200: ingress.MinConnectionsPerServer, 401: 1}))
			Expect(b.requests()).To(HaveLen(ingress.MinConnectionsPerServer))
		})

		// Guards against the priority of the route that hides the one of the team.
		It("give requests the priority of their team in the queue", func() {
			send(redKey, 1)
			send(blueKey, 2)
			release <- struct{}{}
			Eventually(b.requests, "2s").Should(HaveLen(ingress.MinConnectionsPerServer + 1))
			Expect(b.requests()[ingress.MinConnectionsPerServer].Get(teamHeader)).To(Equal("blue"))
			close(release)
		})
	})
})

// lockedBuffer is a buffer that several goroutines write to.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

// putTeams writes a configuration with teams; keys maps names of teams to their keys.
func putTeams(store *objects.Store, version int, keys map[string][]string) {
	var tenants []any
	for name, teamKeys := range keys {
		tenants = append(tenants, map[string]any{"name": name, "apiKeys": teamKeys})
	}
	store.Put(platform.KindConfig, platform.ConfigName, map[string]any{
		"version": version, "tenants": tenants,
		"routes": []any{
			map[string]any{"name": "turns", "host": "h", "pathPrefix": "/turns/", "kind": "streaming", "timeoutMs": 5000, "service": "s", "retentionS": 60},
			map[string]any{"name": "once", "host": "h", "pathPrefix": "/once/", "kind": "non_idempotent", "timeoutMs": 5000, "service": "s"},
		},
		"services": []any{map[string]any{"name": "s", "maxConns": 100, "engine": map[string]any{"strideTokens": 10}}},
	})
}

var _ = Describe("Hosts with teams", func() {
	// Guards against a key that a person or another host could read: in logs, metrics, answers to operators, the messages
	// of hosts, or requests to servers.
	It("show a key nowhere", func(ctx SpecContext) {
		logged := &lockedBuffer{}
		Expect(logging.Setup(logging.Options{Level: "debug", Output: logged})).To(Succeed())
		DeferCleanup(func() { Expect(logging.Setup(logging.Options{})).To(Succeed()) })
		store := objects.New()
		b := newBackend("i-1", func(w http.ResponseWriter, r *http.Request, _ int) { streamEvents(w, 1, 2) })
		putTeams(store, 1, map[string][]string{"blue": {blueKey}, "red": {redKey}})
		putServer(store, b, "ready")
		hosts := startHosts(store, "a-1", "b-1")
		for _, h := range hosts {
			for _, path := range []string{"/turns/", "/once/", "/none/"} {
				for _, key := range []string{blueKey, unknownKey} {
					h.call("POST", path, "", append(bearer(key), "Hyssopreel-Program-Id", "p", "Hyssopreel-Token-Budget", "580", "Hyssopreel-Token-Count", "100,290")...)
				}
			}
		}
		putTeams(store, 2, map[string][]string{"red": {redKey}})
		for _, h := range hosts {
			Eventually(func() int { return h.call("POST", "/once/", "", bearer(blueKey)...).status }, "3s", "20ms").Should(Equal(401))
		}
		store.PutRaw(platform.KindConfig, platform.ConfigName, []byte(`{"version":3,"tenants":[{"name":"blue","apiKeys":["`+blueKey+`",7]}]}`))
		Eventually(logged.String, "3s").Should(ContainSubstring("configuration cannot be used"))

		var seen bytes.Buffer
		peer := wire.NewNode(wire.Options{ProcessName: "test"})
		DeferCleanup(peer.Close)
		for _, h := range hosts {
			for _, path := range []string{"/v1/fleet", "/metrics"} {
				resp, err := http.Get("http://" + h.settings.Listen.Metrics + path)
				Expect(err).NotTo(HaveOccurred())
				_, _ = io.Copy(&seen, resp.Body)
				_ = resp.Body.Close()
			}
			follow := map[string]any{"Kind": platform.KindConfig, "MaxWait": time.Millisecond}
			list := objectapi.RelayRequest{Op: objectapi.RelayList, Kind: platform.KindConfig}
			get := objectapi.RelayRequest{Op: objectapi.RelayGet, Kind: platform.KindConfig, Name: platform.ConfigName}
			heartbeat := map[string]any{"Host": "x", "Incarnation": "1"}
			for kind, bodies := range map[wire.Type][]any{wire.TypeFollow: {follow}, wire.TypeStoreRelay: {list, get}, wire.TypeEntryHeartbeat: {heartbeat}} {
				for _, body := range bodies {
					callCtx, cancel := context.WithTimeout(ctx, time.Second)
					var answer msgpack.RawMessage
					Expect(peer.Call(callCtx, h.settings.Listen.Peer, kind, body, &answer)).To(Succeed())
					cancel()
					seen.Write(answer)
				}
			}
		}
		_, _ = fmt.Fprint(&seen, logged.String())
		for _, header := range b.requests() {
			_, _ = fmt.Fprint(&seen, header)
		}
		Expect(b.requests()).NotTo(BeEmpty())
		Expect(seen.String()).To(ContainSubstring("blue"))
		Expect(seen.String()).NotTo(ContainSubstring("-secret-"))
	}, SpecTimeout(60*time.Second))
})

// revocation is the bound on revoked keys of the hosts in these tests.
const revocation = 2 * time.Second

// startTeamHosts starts hosts with that bound and waits until they know each other. Those of one failure domain are in the
// directory up to three.
func startTeamHosts(store *objects.Store, names ...string) []*runningHost {
	var hosts []*runningHost
	for _, name := range names {
		hosts = append(hosts, startHostWith(store, name, func(s *settings.EntryHost) { s.Promises.RevocationDelay = revocation }))
	}
	DeferCleanup(func() {
		for _, h := range hosts {
			h.stop()
		}
	})
	for _, h := range hosts {
		Eventually(h.ready, "8s").Should(BeTrue())
		Eventually(h.directory, "8s").Should(HaveLen(min(len(names), 3)))
	}
	return hosts
}

var _ = Describe("Hosts with a bound on revoked keys", func() {
	var store *objects.Store
	var b *backend
	send := func(h *runningHost, key string) int { return h.call("POST", "/once/", "", bearer(key)...).status }
	setAvailable := func(hosts []*runningHost, available bool) {
		for _, h := range hosts {
			h.gate.closed.Store(!available)
		}
	}
	BeforeEach(func() {
		store = objects.New()
		b = newBackend("i-1", func(w http.ResponseWriter, _ *http.Request, _ int) { _, _ = io.WriteString(w, "done") })
		putTeams(store, 1, map[string][]string{"blue": {blueKey}, "red": {redKey}})
		putServer(store, b, "ready")
	})

	// Guards against a key that was revoked in an outage of the store and is accepted for as long as that lasts, and against
	// refusals before that must be.
	It("accept keys for that time in an outage of the store, and refuse revoked ones after it", func() {
		hosts := startTeamHosts(store, "a-1", "b-1", "c-1")
		setAvailable(hosts, false)
		closedAt := time.Now()
		for time.Since(closedAt) < revocation+500*time.Millisecond {
			for _, h := range hosts {
				sentAt := time.Now()
				switch status := send(h, redKey); {
				case sentAt.Sub(closedAt) >= revocation:
					Expect(status).To(Equal(503))
				case time.Since(closedAt) < revocation/4:
					Expect(status).To(Equal(200))
				default:
					Expect(status).To(BeElementOf(200, 503))
				}
			}
		}
		putTeams(store, 2, map[string][]string{"red": {redKey}})
		Expect(send(hosts[2], blueKey)).To(Equal(503))
		r := hosts[0].call("POST", "/once/", "", bearer(redKey)...)
		Expect(r.status).To(Equal(503))
		Expect(strconv.ParseFloat(r.header.Get("Retry-After"), 64)).To(BeNumerically(">", 0))
		Expect(send(hosts[1], unknownKey)).To(Equal(503), "the key may have been added")
		setAvailable(hosts, true)
		for _, h := range hosts {
			Eventually(func() int { return send(h, redKey) }, "4s", "10ms").Should(Equal(200))
			Eventually(func() int { return send(h, blueKey) }, "1s", "10ms").Should(Equal(401))
		}
	})

	// Guards against a host that stops accepting keys because the store is unavailable to it alone.
	It("confirm the configuration through a peer", func() {
		hosts := startTeamHosts(store, "a-1", "b-1", "c-1")
		for _, h := range hosts {
			h.gate.closed.Store(true)
			for end := time.Now().Add(revocation * 3 / 2); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				Expect(send(h, blueKey)).To(Equal(200))
			}
			h.gate.closed.Store(false)
		}
	})

	// Guards against hosts that take a stale watch for a sign that nothing has changed.
	It("refuse a revoked key while watches are stale", func() {
		hosts := startTeamHosts(store, "a-1", "b-1", "c-1")
		store.SetFaults(objects.Faults{StaleWatches: true})
		putTeams(store, 2, map[string][]string{"red": {redKey}})
		time.Sleep(revocation)
		for _, h := range hosts {
			Expect(send(h, blueKey)).NotTo(Equal(200))
			Eventually(func() int { return send(h, blueKey) }, "2s", "20ms").Should(Equal(401))
			Expect(send(h, redKey)).To(Equal(200))
		}
	})

	// Guards against a host that accepts a revoked key because a peer supplied an old configuration.
	It("accept no keys on a host that starts in an outage of the store", func() {
		hosts := startTeamHosts(store, "a-1", "b-1")
		setAvailable(hosts, false)
		time.Sleep(revocation)
		late := startHostWith(store, "c-1", func(s *settings.EntryHost) { s.Promises.RevocationDelay = revocation }, hosts[0].settings.Listen.Peer)
		DeferCleanup(late.stop)
		late.gate.closed.Store(true)
		Consistently(func() int {
			if !late.ready() {
				return 503
			}
			return send(late, blueKey)
		}, "2s", "20ms").Should(Equal(503))
		setAvailable(append(hosts, late), true)
		Eventually(func() int {
			if !late.ready() {
				return 503
			}
			return send(late, blueKey)
		}, "5s", "20ms").Should(Equal(200))
	})

	// Guards against hosts without a role that answer 503 in normal operation, or call the store to avoid that.
	It("refuse an unknown key for good and accept a known one at each host of a large failure domain", func() {
		var names []string
		for i := range hostsPerDomain {
			names = append(names, fmt.Sprintf("a-%d", i+1))
		}
		hosts := startTeamHosts(store, names...)
		for _, h := range hosts[2:] {
			Eventually(h.sources, "8s").Should(HaveEach(BeElementOf(hosts[0].settings.Listen.Peer, hosts[1].settings.Listen.Peer)))
		}
		time.Sleep(time.Second) // the last lists of the start
		before := make([]int64, len(hosts))
		for i, h := range hosts {
			before[i] = h.gate.calls.Load()
		}
		for end := time.Now().Add(2 * revocation); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			for _, h := range hosts {
				Expect(send(h, unknownKey)).To(Equal(401))
				Expect(send(h, blueKey)).To(Equal(200))
			}
		}
		for i, h := range hosts[2:] {
			Expect(h.gate.calls.Load()).To(Equal(before[i+2]), "calls of host %s", h.settings.Host.Name)
		}
	})
})
