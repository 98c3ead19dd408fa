package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// recoverTime is the bound of the deployment, and servedShare that of the rule.
	recoverTime = 12 * time.Second
	servedShare = 0.25
	turnsPerS   = 40
	// prefillTime is the time from a turn's admission, when its header is sent, to its first event.
	prefillTime = 150 * time.Millisecond
	crashCount  = 3
)

// turnResult is what became of one attempt.
type turnResult struct {
	sentAt time.Time
	served bool
	status int
}

// runVerdict sends turns of different programs that begin with the same system prompt. Three workers crash at once while
// they read prompts; a few seconds later all entry processes are killed, and the traffic continues.
func runVerdict(w *world) (bool, error) {
	routes := []map[string]any{{
		"name": "r-chat", "host": callerHost, "pathPrefix": "/chat/", "kind": "streaming", "timeoutMs": 4000, "targetLatencyMs": 250, "priority": 1,
		"service": "agent-llm", "attempts": 1, "retain": false, "retentionS": 60.0, "sticky": true, "resumable": false, "gapAimMs": 150,
	}}
	services := []map[string]any{{"name": "agent-llm", "healthPath": "/healthz", "maxConns": 170, "engine": map[string]any{"slots": 12, "strideTokens": 10}}}
	w.putConfig(7, routes, services)
	var mu sync.Mutex
	reading := map[*worker]int{}
	serve := func(s *worker, _ string, out http.ResponseWriter, r *http.Request, _ string) {
		mu.Lock()
		reading[s]++
		mu.Unlock()
		out.Header().Set("Content-Type", "text/event-stream")
		_ = http.NewResponseController(out).Flush()
		select {
		case <-time.After(prefillTime):
		case <-r.Context().Done():
		}
		mu.Lock()
		reading[s]--
		mu.Unlock()
		if r.Context().Err() == nil {
			answerStream(out, r, 6, 20*time.Millisecond)
		}
	}
	for i := range 20 {
		w.addWorker("agent-llm", zones[i%len(zones)], 12, serve)
	}
	w.addHosts("entry", 3)
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	systemPrompt := strings.Repeat("You help farmers to book a slurry tanker. Ask for the site, the size of the tank and the access. ", 12)
	var results []turnResult
	var stopped atomic.Bool
	var callers sync.WaitGroup
	callers.Go(func() {
		for n := 1; !stopped.Load(); n++ {
			callers.Go(func() {
				h := w.entries()[rand.IntN(3)]
				body := fmt.Sprintf("%sfarmer %d says: %x", systemPrompt, n, rand.Uint64())
				program := fmt.Sprintf("%x", rand.Uint64())
				a := w.call(h, http.MethodPost, "/chat/2f", fmt.Sprintf("%016x", rand.Uint64()), body, map[string]string{
					"Hyssopreel-Model": "m", "Hyssopreel-Token-Count": "700,60", "Hyssopreel-Prompt-Prefix": "5c1e07a2:512,91bd3f06:188",
					"Hyssopreel-Program-Id": program, "Hyssopreel-Session-Id": program, "Hyssopreel-Program-Deadline-Ms": "5200",
					"Hyssopreel-Token-Budget": "2320",
				})
				mu.Lock()
				defer mu.Unlock()
				results = append(results, turnResult{a.sentAt, a.status == http.StatusOK && a.err == nil, a.status})
			})
			time.Sleep(time.Second / turnsPerS)
		}
	})
	time.Sleep(8 * time.Second)
	if w.trouble {
		if err := crashTogether(w, &mu, reading, true); err != nil {
			stopped.Store(true)
			callers.Wait()
			return false, err
		}
	}
	time.Sleep(5 * time.Second)
	faultAt := time.Now()
	w.putConfig(9, routes, services)
	w.logf("final fault: all entry processes are killed")
	for _, h := range w.entries() {
		w.kill(h)
	}
	time.Sleep(time.Second)
	for _, h := range w.entries() {
		if err := w.start(h, false); err != nil {
			return false, err
		}
	}
	for _, h := range w.entries() {
		if err := w.awaitReady(h); err != nil {
			return false, err
		}
	}
	backAt := time.Now()
	time.Sleep(recoverTime + 10*time.Second)
	stopped.Store(true)
	callers.Wait()

	mu.Lock()
	defer mu.Unlock()
	share := func(from, to time.Time) (served, sent int, statuses map[int]int) {
		statuses = map[int]int{}
		for _, r := range results {
			if !r.sentAt.Before(from) && r.sentAt.Before(to) {
				sent++
				statuses[r.status]++
				if r.served {
					served++
				}
			}
		}
		return served, sent, statuses
	}
	before, sentBefore, statusesBefore := share(w.startedAt, faultAt)
	after, sentAfter, statusesAfter := share(backAt.Add(recoverTime), time.Now())
	w.logf("before the final fault: %d of %d attempts served, by status %v", before, sentBefore, statusesBefore)
	w.logf("from %v after all were back: %d of %d attempts served, by status %v; the rule wants a quarter", recoverTime, after, sentAfter, statusesAfter)
	if float64(before) < servedShare*float64(sentBefore) || sentAfter == 0 {
		return false, fmt.Errorf("too few requests were served before the fault, or none was sent after it")
	}
	return float64(after) < servedShare*float64(sentAfter), nil
}

// crashTogether crashes workers at a moment at which each of them reads the prompt of a turn. They are of one zone if oneZone
// is set, and back after three seconds.
func crashTogether(w *world, mu *sync.Mutex, reading map[*worker]int, oneZone bool) error {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		byZone := map[string][]*worker{}
		mu.Lock()
		for s, n := range reading {
			switch {
			case n > 0 && oneZone:
				byZone[s.zone] = append(byZone[s.zone], s)
			case n > 0:
				byZone[""] = append(byZone[""], s)
			}
		}
		mu.Unlock()
		for _, busy := range byZone {
			if len(busy) < crashCount {
				continue
			}
			for _, s := range busy[:crashCount] {
				s.crash("crash")
				time.AfterFunc(crashedFor, func() { _ = s.begin() })
			}
			return nil
		}
	}
	return fmt.Errorf("at no moment were %d workers reading prompts", crashCount)
}
