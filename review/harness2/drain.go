package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// drainTime is the bound of the deployment.
const drainTime = 2 * time.Second

// runDrain lets a worker leave without a report while it runs a stream, and break that stream off later.
func runDrain(w *world) (bool, error) {
	w.putConfig(7, []map[string]any{{
		"name": "r-chat", "host": callerHost, "pathPrefix": "/chat/", "kind": "streaming", "timeoutMs": 4000, "targetLatencyMs": 250, "priority": 1,
		"service": "agent-llm", "attempts": 1, "retain": false, "retentionS": 60.0, "sticky": true, "resumable": true, "gapAimMs": 150,
	}}, []map[string]any{{"name": "agent-llm", "healthPath": "/healthz", "maxConns": 170, "engine": map[string]any{"slots": 12, "strideTokens": 10}}})
	var mu sync.Mutex
	var goneAt time.Time
	var left *worker
	serve := func(s *worker, id string, out http.ResponseWriter, r *http.Request, _ string) {
		if r.Header.Get("Last-Event-Id") != "" || r.Header.Get("Hyssopreel-Attempt-Id") == "warm" {
			answerStream(out, r, 30, 100*time.Millisecond)
			return
		}
		out.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= 30; i++ {
			select {
			case <-time.After(100 * time.Millisecond):
			case <-r.Context().Done():
				return
			}
			writeEvent(out, i, "tttt")
			if i == 2 {
				s.unlist()
				mu.Lock()
				goneAt, left = time.Now(), s
				mu.Unlock()
				w.logf("worker %s: the store has accepted that its entry is removed; it goes on serving", id)
			}
			if i == 25 && w.trouble {
				w.logf("worker %s breaks the answer off", id)
				panic(http.ErrAbortHandler)
			}
		}
	}
	for i := range 3 {
		w.addWorker("agent-llm", zones[i%len(zones)], 12, serve)
	}
	w.addHosts("entry", 3)
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	w.call(w.entries()[0], http.MethodPost, "/chat/2f", fmt.Sprintf("%016x", 0xb001), "hello", map[string]string{
		"Hyssopreel-Model": "m", "Hyssopreel-Token-Count": "100,300", "Hyssopreel-Prompt-Prefix": "5c1e07a2:100",
	})
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	if left == nil {
		return false, fmt.Errorf("no worker ran the request")
	}
	late := 0
	left.mu.Lock()
	defer left.mu.Unlock()
	for _, a := range left.arrivals {
		if d := a.at.Sub(goneAt); d > drainTime {
			late++
			w.logf("attempt %s reached worker %s %d ms after the store had accepted that it is gone; the rule allows %d ms", a.attempt, a.worker, d.Milliseconds(), drainTime.Milliseconds())
		}
	}
	return late > 0, nil
}
