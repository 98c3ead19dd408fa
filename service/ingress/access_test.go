package ingress_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
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
			for range ingress.MinConnectionsPerServer {
				Eventually(statuses, "2s").Should(Receive(Equal(200)))
			}
			Eventually(statuses, "2s").Should(Receive(Equal(401)))
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
