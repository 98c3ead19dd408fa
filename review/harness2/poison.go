package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// stableWindow and maxLateRetries are those of the rule: retries count that are sent later than the window after the third
// crash, and there may be three.
const (
	stableWindow   = 3 * time.Second
	maxLateRetries = 3
	crashedFor     = 3 * time.Second
	poisonMark     = "crash"
)

// runPoison sends a request that crashes each worker which begins to run it, and again later, at any host.
func runPoison(w *world) (bool, error) {
	w.putConfig(7, []map[string]any{{
		"name": "r-chat", "host": callerHost, "pathPrefix": "/chat/", "kind": "streaming", "timeoutMs": 4000, "targetLatencyMs": 250, "priority": 1,
		"service": "agent-llm", "attempts": 1, "retain": false, "retentionS": 60.0, "sticky": true, "resumable": false, "gapAimMs": 150,
	}}, []map[string]any{{"name": "agent-llm", "healthPath": "/healthz", "maxConns": 170, "engine": map[string]any{"slots": 12, "strideTokens": 10}}})
	var mu sync.Mutex
	var crashes []time.Time
	serve := func(s *worker, id string, out http.ResponseWriter, r *http.Request, body string) {
		if body != poisonMark || !w.trouble {
			answerStream(out, r, 6, 20*time.Millisecond)
			return
		}
		// The request begins to run with its first token, and the worker crashes.
		out.Header().Set("Content-Type", "text/event-stream")
		writeEvent(out, 1, "t")
		time.Sleep(5 * time.Millisecond)
		mu.Lock()
		crashes = append(crashes, time.Now())
		mu.Unlock()
		s.crash("it began to run the request")
		time.AfterFunc(crashedFor, func() { _ = s.begin() })
		panic(http.ErrAbortHandler)
	}
	for i := range 9 {
		w.addWorker("agent-llm", zones[i%len(zones)], 12, serve)
	}
	w.addHosts("entry", 3)
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	entries := w.entries()
	n := 0
	send := func(body string) answer {
		n++
		return w.call(entries[n%len(entries)], http.MethodPost, "/chat/2f", fmt.Sprintf("%016x", 0xa000+n), body, map[string]string{
			"Hyssopreel-Model": "m", "Hyssopreel-Token-Count": "100,60", "Hyssopreel-Prompt-Prefix": "5c1e07a2:100",
		})
	}
	if a := send("hello"); a.status != http.StatusOK || a.err != nil {
		return false, fmt.Errorf("a harmless request got %s", a)
	}
	// The request comes four times, is away for 62 s, and comes four times again.
	for _, pause := range []time.Duration{0, 2, 2, 5, 62, 3, 3, 3} {
		time.Sleep(pause * time.Second)
		send(poisonMark)
	}
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	w.logf("the request crashed %d workers", len(crashes))
	if len(crashes) < 3 {
		return false, nil
	}
	late := 0
	for _, a := range w.allArrivals() {
		if a.body == poisonMark && a.at.After(crashes[2].Add(stableWindow)) {
			late++
		}
	}
	w.logf("retries that reached a worker later than %v after the third crash: %d; the rule allows %d", stableWindow, late, maxLateRetries)
	return late > maxLateRetries, nil
}
