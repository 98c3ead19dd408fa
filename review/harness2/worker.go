package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// arrival is a request that reached a worker.
type arrival struct {
	at                  time.Time
	attempt, last, body string
	worker              string
	path                string
}

// worker is a stand-in for one worker of the platform, through all of its lifetimes at one address.
type worker struct {
	world   *world
	service string
	zone    string
	slots   int
	address string
	// serve answers a request that carries the worker's ID.
	serve func(s *worker, id string, out http.ResponseWriter, r *http.Request, body string)

	mu       sync.Mutex
	id       string
	born     int64
	server   *http.Server
	conns    map[net.Conn]bool
	alive    bool
	arrivals []arrival
}

// addWorker starts a worker.
func (w *world) addWorker(service, zone string, slots int, serve func(s *worker, id string, out http.ResponseWriter, r *http.Request, body string)) *worker {
	s := &worker{world: w, service: service, zone: zone, slots: slots, address: freeAddress(), serve: serve}
	w.workers = append(w.workers, s)
	if err := s.begin(); err != nil {
		panic(err)
	}
	return s
}

// begin starts a new lifetime with a new ID at the same address.
func (s *worker) begin() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.id, s.born, s.alive = fmt.Sprintf("i-%08x", rand.Uint32()), time.Now().UnixMilli(), true
	s.conns = map[net.Conn]bool{}
	id := s.id
	server := &http.Server{
		ReadHeaderTimeout: time.Minute,
		Handler:           http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) { s.handle(id, out, r) }),
		ConnState: func(c net.Conn, state http.ConnState) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if state == http.StateNew {
				s.conns[c] = true
			}
			if state == http.StateClosed || state == http.StateHijacked {
				delete(s.conns, c)
			}
		},
	}
	s.server = server
	go func() { _ = server.Serve(listener) }()
	s.enter()
	s.world.logf("worker %s (%s) begins at %s", id, s.service, s.address)
	return nil
}

// enter writes the worker's entry in the store. What a worker writes later differs in its sequence only, which does not
// change the entry.
func (s *worker) enter() {
	s.world.store.Put("servers", s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "1", "slots": s.slots, "state": "ready",
		"coldLeftMs": 0, "sequence": 1, "born": s.born,
	})
}

// crash ends the lifetime as the end of a process does: nothing listens any more, and all channels are reset. The entry
// goes after three ping intervals of silence.
func (s *worker) crash(why string) {
	s.mu.Lock()
	if !s.alive {
		s.mu.Unlock()
		return
	}
	s.alive = false
	id, server, conns := s.id, s.server, s.conns
	s.conns = map[net.Conn]bool{}
	s.mu.Unlock()
	for c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	_ = server.Close()
	s.world.logf("worker %s ends: %s", id, why)
	store := s.world.store
	time.AfterFunc(3*pingInterval, func() { store.Delete("servers", id) })
}

// unlist removes the worker's entry, as a worker does that leaves without a report. It goes on serving.
func (s *worker) unlist() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.world.store.Delete("servers", s.id)
}

func (s *worker) handle(id string, out http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	attempt := r.Header.Get("Hyssopreel-Attempt-Id")
	out.Header().Set("Hyssopreel-Attempt-Id", attempt)
	out.Header().Set("Hyssopreel-Instance-Id", id)
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/report":
		_, _ = io.WriteString(out, `{"stage":"dual","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"waiting":0,"running":0,"kvUsed":0,"kvTotal":100000,"handles":0}`)
		return
	case r.Method == http.MethodGet && r.URL.Path == "/healthz":
		return
	}
	if want := r.Header.Get("Hyssopreel-Expect-Instance"); want != "" && want != id {
		s.world.logf("worker %s: attempt %s is for %s: 421", id, attempt, want)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a := arrival{at: time.Now(), attempt: attempt, last: r.Header.Get("Last-Event-Id"), body: string(body), worker: id, path: r.URL.Path}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	s.mu.Unlock()
	s.world.logf("worker %s: attempt %s arrives, Last-Event-Id %q, %d bytes", id, attempt, a.last, len(a.body))
	out.Header().Set("Hyssopreel-Server-Stamp", fmt.Sprintf("%s.%08x", id, rand.Uint32()))
	out.Header().Set("Hyssopreel-Weight-Versions", "1")
	s.serve(s, id, out, r, string(body))
}

// allArrivals returns the requests that reached any worker.
func (w *world) allArrivals() []arrival {
	var out []arrival
	for _, s := range w.workers {
		s.mu.Lock()
		out = append(out, s.arrivals...)
		s.mu.Unlock()
	}
	return out
}

// writeEvent writes one event of a stream.
func writeEvent(out http.ResponseWriter, number int, text string) {
	_, _ = fmt.Fprintf(out, "id: %d\ndata: %s\n\n", number, text)
	_ = http.NewResponseController(out).Flush()
}

// answerStream writes the events after last, with a pause before each.
func answerStream(out http.ResponseWriter, r *http.Request, events int, pause time.Duration) {
	out.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &first)
		first++
	}
	for i := first; i <= events; i++ {
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return
		}
		writeEvent(out, i, strings.Repeat("t", 40))
	}
}
