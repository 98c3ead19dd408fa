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
	soakEvents        = 6                      // events of a whole turn, of 10 tokens each
	soakMaxTokens     = 10 * soakEvents        // tokens that a turn says it may generate
	soakBudget        = 10 * soakMaxTokens     // tokens of a program
)

// soak is a fleet whose store and backend servers misbehave at random, and what its callers saw.
type soak struct {
	store    *objects.Store
	backends []*backend
	hosts    []*runningHost

	mu  sync.Mutex
	rng *rand.Rand
	// executed holds how often each server worked on an attempt.
	executed  map[string]map[string]int
	responses map[string]soakResponse
}

// soakResponse is what the caller of an attempt got.
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
	if s.executed[attempt] == nil {
		s.executed[attempt] = map[string]int{}
	}
	s.executed[attempt][server]++
}

// handler is a backend server: a third of the requests go wrong.
func (s *soak) handler(server string) func(w http.ResponseWriter, r *http.Request, _ int) {
	return func(w http.ResponseWriter, r *http.Request, _ int) {
		fault := s.randIntN(24)
		switch fault {
		case 0, 1:
			w.Header().Set("Hyssopreel-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case 2:
			resetConnection(w) // before the request was looked at
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
			r.Header.Del("Last-Event-Id") // a run that begins anew instead of going on
			s.respond(w, r, soakEvents)
		default:
			s.respond(w, r, soakEvents)
		}
	}
}

// respond writes the events up to last, or a plain answer.
func (s *soak) respond(w http.ResponseWriter, r *http.Request, last int) {
	if !strings.HasPrefix(r.URL.Path, "/turns/") {
		_, _ = fmt.Fprint(w, "done")
		return
	}
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // absent at the start
	streamEvents(w, from+1, last)
}

// injectFault puts another fault in force.
func (s *soak) injectFault(version *int) {
	for _, h := range s.hosts {
		h.gate.closed.Store(s.randIntN(6) == 0)
	}
	s.store.SetFaults([]objects.Faults{
		{}, {}, {Status: 503}, {RefuseEvery: 3}, {LoseWrites: 3}, {LateWrites: 200 * time.Millisecond}, {Deaf: true},
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

// call sends one request of a kind to one host and notes its answer.
func (s *soak) call(attempt string) {
	kind := []string{"turns", "turns", "once", "many"}[s.randIntN(4)]
	program := "p" + strconv.Itoa(s.randIntN(8))
	h := s.hosts[s.randIntN(len(s.hosts))]
	header := []string{"Hyssopreel-Attempt-Id", attempt}
	if kind == "turns" {
		header = append(header, "Hyssopreel-Program-Id", program, "Hyssopreel-Session-Id", "s",
			"Hyssopreel-Token-Budget", strconv.Itoa(soakBudget), "Hyssopreel-Token-Count", "100,"+strconv.Itoa(soakMaxTokens))
	}
	a := h.call("POST", "/"+kind+"/", "x", header...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responses[attempt] = soakResponse{kind: kind, program: program, response: a}
}

// check compares what callers got with what servers did.
func (s *soak) check() {
	tokens := map[string]int{}
	asked, served := 0, 0 // requests that may be repeated
	failed := map[string]int{}
	for attempt, a := range s.responses {
		runs := 0
		for _, n := range s.executed[attempt] {
			runs += n
		}
		what := fmt.Sprintf("%s %s: %d %v, executed %v", a.kind, attempt, a.status, a.err, s.executed[attempt])
		switch a.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusPaymentRequired:
			Expect(runs).To(BeZero(), what)
		case http.StatusOK:
			Expect(runs).NotTo(BeZero(), what)
		}
		switch a.kind {
		case "many":
			asked++
			if a.status == http.StatusOK && a.err == nil {
				served++
			} else {
				failed[fmt.Sprintf("%d %v", a.status, a.err)]++
			}
		case "once":
			Expect(runs).To(BeNumerically("<=", 1), what)
		case "turns":
			Expect(len(s.executed[attempt])).To(BeNumerically("<=", 1), what)
			tokens[a.program] += 10 * s.checkStream(a, what)
		}
	}
	Expect(served).To(BeNumerically(">", asked*3/4), "each of three tries fails once in three times; %v", failed)
	for program, n := range tokens {
		Expect(n).To(BeNumerically("<=", soakBudget+soakMaxTokens), "tokens of program "+program)
	}
}

// checkStream returns the number of events of a stream, which must be the first ones in their order, and all of them if
// the stream looks whole.
func (s *soak) checkStream(a soakResponse, what string) int {
	n := 0
	for line := range strings.Lines(a.body) {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			n++
			Expect(strings.TrimSpace(id)).To(Equal(strconv.Itoa(n)), what)
		}
	}
	if a.status == http.StatusOK && a.err == nil {
		Expect(n).To(Equal(soakEvents), what)
	}
	return n
}

var _ = DescribeTable("Under faults drawn at random: nothing runs twice that must not, no answer lies, no budget is passed",
	func(seed uint64) {
		s := &soak{
			store: objects.New(), rng: rand.New(rand.NewPCG(seed, seed)),
			executed: map[string]map[string]int{}, responses: map[string]soakResponse{},
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
