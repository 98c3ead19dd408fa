package ingress_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/platform"
	"github.com/hyssopreel/hyssopreel/standin/objects"
)

const (
	soakDuration      = 5 * time.Second
	soakFaultInterval = 300 * time.Millisecond // between two faults
	soakEvents        = 6                      // events of a complete turn, of 10 tokens each
	soakMaxTokens     = 10 * soakEvents        // max tokens of a turn
	soakBudget        = 10 * soakMaxTokens     // token budget of a program
)

// soak is a fleet with random faults of the store and the backend servers, and a record of executions and
// responses.
type soak struct {
	store    *objects.Store
	backends []*backend
	hosts    []*runningHost

	mu  sync.Mutex
	rng *rand.Rand
	// executions counts the executions by attempt ID and server.
	executions map[string]map[string]int
	responses  map[string]soakResponse // by attempt ID
}

// soakResponse is the response that the caller of an attempt received.
type soakResponse struct {
	kind, program string
	response
}

func (s *soak) randIntN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

func (s *soak) recordExecution(server string, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	attempt := r.Header.Get("Hyssopreel-Attempt-Id")
	if s.executions[attempt] == nil {
		s.executions[attempt] = map[string]int{}
	}
	s.executions[attempt][server]++
}

// handler returns a backend server that injects a fault into 9 of 24 requests.
func (s *soak) handler(server string) func(w http.ResponseWriter, r *http.Request, _ int) {
	return func(w http.ResponseWriter, r *http.Request, _ int) {
		fault := s.randIntN(24)
		switch fault {
		case 0, 1:
			w.Header().Set("Hyssopreel-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case 2:
			resetConnection(w) // before the execution
			return
		}
		s.recordExecution(server, r)
		switch fault {
		case 3:
			resetConnection(w)
		case 4:
			w.WriteHeader(http.StatusInternalServerError)
		case 5:
			<-time.After(400 * time.Millisecond) // a slow server
			s.respond(w, r, soakEvents)
		case 6, 7:
			s.respond(w, r, 1+s.randIntN(soakEvents))
			_, _ = fmt.Fprintf(w, "id: 9")
			_ = http.NewResponseController(w).Flush()
			resetConnection(w)
		case 8:
			r.Header.Del("Last-Event-Id") // starts the stream again instead of resuming it
			s.respond(w, r, soakEvents)
		default:
			s.respond(w, r, soakEvents)
		}
	}
}

// respond writes the events up to last, or a plain response to a request that is no turn.
func (s *soak) respond(w http.ResponseWriter, r *http.Request, last int) {
	if !strings.HasPrefix(r.URL.Path, "/turns/") {
		_, _ = fmt.Fprint(w, "done")
		return
	}
	lastEventID, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // absent at the start
	streamEvents(w, lastEventID+1, last)
}

// injectFault replaces the faults of the store by random ones. It may also compact the history, write a new
// configuration or change the state of a server.
func (s *soak) injectFault(version *int) {
	for _, h := range s.hosts {
		h.gate.closed.Store(s.randIntN(6) == 0)
	}
	s.store.SetFaults([]objects.Faults{
		{}, {}, {ErrorStatus: 503}, {RefuseEveryNth: 3}, {LoseAnswers: 3}, {LateWriteDelay: 200 * time.Millisecond}, {StaleWatches: true},
	}[s.randIntN(7)])
	switch s.randIntN(4) {
	case 0:
		s.store.Compact()
	case 1:
		*version++
		s.putConfig(*version)
	case 2:
		putServer(s.store, s.backends[s.randIntN(len(s.backends)-1)+1], []string{"ready", "draining"}[s.randIntN(2)])
	}
}

func (s *soak) putConfig(version int) {
	route := func(name, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "h", "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": 2000, "service": "s",
			"resumable": kind == "streaming", "retentionS": 60, "attempts": attempts,
		}
	}
	s.store.Put(platform.KindConfig, platform.ConfigName, map[string]any{
		"version":  version,
		"routes":   []any{route("turns", "streaming", 1), route("once", "non_idempotent", 3), route("many", "idempotent", 3)},
		"services": []any{map[string]any{"name": "s", "maxConns": 500, "engine": map[string]any{"strideTokens": 10}}},
	})
}

// call sends a random request to a random host and records its response.
func (s *soak) call(attempt string) {
	kind := []string{"turns", "turns", "once", "many"}[s.randIntN(4)]
	program := "p" + strconv.Itoa(s.randIntN(8))
	h := s.hosts[s.randIntN(len(s.hosts))]
	header := []string{"Hyssopreel-Attempt-Id", attempt}
	if kind == "turns" {
		header = append(header, "Hyssopreel-Program-Id", program, "Hyssopreel-Session-Id", "s",
			"Hyssopreel-Token-Budget", strconv.Itoa(soakBudget), "Hyssopreel-Token-Count", "100,"+strconv.Itoa(soakMaxTokens))
	}
	resp := h.call("POST", "/"+kind+"/", "x", header...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responses[attempt] = soakResponse{kind: kind, program: program, response: resp}
}

// check compares the responses to the callers with the executions at the servers.
func (s *soak) check() {
	tokens := map[string]int{}
	sent, served := 0, 0         // idempotent requests
	failures := map[string]int{} // idempotent requests by status and error
	for attempt, resp := range s.responses {
		executions := 0
		for _, n := range s.executions[attempt] {
			executions += n
		}
		details := fmt.Sprintf("%s %s: %d %v, executed %v", resp.kind, attempt, resp.status, resp.err, s.executions[attempt])
		switch resp.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusPaymentRequired:
			Expect(executions).To(BeZero(), details)
		case http.StatusOK:
			Expect(executions).NotTo(BeZero(), details)
		}
		switch resp.kind {
		case "many":
			sent++
			if resp.status == http.StatusOK && resp.err == nil {
				served++
			} else {
				failures[fmt.Sprintf("%d %v", resp.status, resp.err)]++
			}
		case "once":
			Expect(executions).To(BeNumerically("<=", 1), details)
		case "turns":
			Expect(len(s.executions[attempt])).To(BeNumerically("<=", 1), details)
			tokens[resp.program] += 10 * s.checkStream(resp, details)
		}
	}
	Expect(served).To(BeNumerically(">", sent*3/4), "each of three tries fails with a probability of 1/3; failures %v", failures)
	for program, n := range tokens {
		Expect(n).To(BeNumerically("<=", soakBudget+soakMaxTokens), "tokens of program "+program)
	}
}

// checkStream returns the number of events of a stream. They must have the IDs 1, 2, 3, ..., and a stream that
// looks complete must have all of them.
func (s *soak) checkStream(resp soakResponse, details string) int {
	n := 0
	for line := range strings.Lines(resp.body) {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			n++
			Expect(strings.TrimSpace(id)).To(Equal(strconv.Itoa(n)), details)
		}
	}
	if resp.status == http.StatusOK && resp.err == nil {
		Expect(n).To(Equal(soakEvents), details)
	}
	return n
}

// Guards against faults of the store and of backend servers that make a non-idempotent request execute twice, a turn
// execute at a second server, a response contradict the executions or look complete when it is not, or a program
// exceed its budget by more than one turn.
var _ = DescribeTable("Under random faults, requests, responses and budgets stay consistent",
	func(seed uint64) {
		s := &soak{
			store: objects.New(), rng: rand.New(rand.NewPCG(seed, seed)),
			executions: map[string]map[string]int{}, responses: map[string]soakResponse{},
		}
		for i := range 4 {
			id := "i-" + strconv.Itoa(i)
			s.backends = append(s.backends, newBackend(id, s.handler(id)))
			putServer(s.store, s.backends[i], "ready")
		}
		version := 1
		s.putConfig(version)
		for _, name := range []string{"a-1", "b-1", "c-1"} {
			s.hosts = append(s.hosts, startHost(s.store, name))
		}
		DeferCleanup(func() {
			for _, h := range s.hosts {
				h.stop()
			}
		})
		for _, h := range s.hosts {
			Eventually(h.ready, "5s").Should(BeTrue())
		}
		end := time.Now().Add(soakDuration)
		var callers sync.WaitGroup
		for c := range 8 {
			callers.Go(func() {
				defer GinkgoRecover()
				for n := 0; time.Now().Before(end); n++ {
					s.call(fmt.Sprintf("%d-%d", c, n))
				}
			})
		}
		step := time.NewTicker(soakFaultInterval)
		defer step.Stop()
		for now := time.Now(); now.Before(end); now = <-step.C {
			s.injectFault(&version)
		}
		callers.Wait()
		s.check()
		s.store.SetFaults(objects.Faults{})
		for _, h := range s.hosts {
			h.gate.closed.Store(false)
			Eventually(func() int { return h.call("POST", "/many/", "x", "Hyssopreel-Attempt-Id", "after").status }, "4s").Should(Equal(200))
		}
	},
	Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)), Entry("seed 3", uint64(3)),
)
