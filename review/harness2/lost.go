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
	// minTries is the number of tries of the rule, and firstTurnShare the share of first turns that must reach a worker.
	minTries       = 5
	firstTurnShare = 0.9
	programAim     = 20 * time.Second
	calmTime       = 5 * time.Second // the site's stableWindowMs is 4,000
)

// runLost keeps turns of several programs whose callers go on with the same short input. Three of 20 workers crash at
// once while they read such turns. Later, another program goes on from a kept turn with that input.
func runLost(w *world) (bool, error) {
	w.putConfig(7, []map[string]any{{
		"name": "r-keep", "host": callerHost, "pathPrefix": "/keep/", "kind": "streaming", "timeoutMs": 4000, "targetLatencyMs": 250, "priority": 1,
		"service": "estimator-models", "attempts": 1, "retain": true, "retentionS": 60.0, "sticky": true, "resumable": false, "gapAimMs": 200,
	}}, []map[string]any{{"name": "estimator-models", "healthPath": "/healthz", "maxConns": 440, "engine": map[string]any{"slots": 6, "strideTokens": 10}}})
	var mu sync.Mutex
	reading := map[*worker]int{}
	serve := func(s *worker, _ string, out http.ResponseWriter, r *http.Request, body string) {
		goesOn := strings.HasSuffix(body, sameInput)
		if goesOn {
			mu.Lock()
			reading[s]++
			mu.Unlock()
		}
		out.Header().Set("Content-Type", "text/event-stream")
		_ = http.NewResponseController(out).Flush()
		select {
		case <-time.After(prefillTime):
		case <-r.Context().Done():
		}
		if goesOn {
			mu.Lock()
			reading[s]--
			mu.Unlock()
		}
		if r.Context().Err() == nil {
			answerStream(out, r, 6, 20*time.Millisecond)
		}
	}
	for i := range 20 {
		w.addWorker("estimator-models", zones[i%len(zones)], 6, serve)
	}
	w.addHosts("entry", 3)
	w.addHosts("disk", 3)
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)

	// The first turns, with texts of their own.
	type program struct{ id, turn string }
	turn := func(p *program, body string) answer {
		attempt := fmt.Sprintf("%016x", rand.Uint64())
		header := map[string]string{
			"Hyssopreel-Model": "m", "Hyssopreel-Token-Count": "300,60", "Hyssopreel-Prompt-Prefix": "5c1e07a2:300",
			"Hyssopreel-Program-Id": p.id, "Hyssopreel-Session-Id": p.id, "Hyssopreel-Token-Budget": "2320",
			"Hyssopreel-Program-Deadline-Ms": fmt.Sprint(programAim.Milliseconds()), "Hyssopreel-Deadline-Ms": "3000",
		}
		if p.turn != "" {
			header["Hyssopreel-Previous-Turn"] = p.turn
		}
		a := w.call(w.entries()[rand.IntN(3)], http.MethodPost, "/keep/2f", attempt, body, header)
		if a.status == http.StatusOK && a.err == nil {
			p.turn = attempt
		}
		return a
	}
	var programs []*program
	for i := range 13 {
		p := &program{id: fmt.Sprintf("%x", rand.Uint64())}
		if a := turn(p, fmt.Sprintf("please quote part %d, drawing %x", i, rand.Uint64())); p.turn == "" {
			return false, fmt.Errorf("a first turn got %s", a)
		}
		programs = append(programs, p)
	}
	last := programs[len(programs)-1]
	keptAt := time.Now()

	// First turns of other programs come all the while.
	var stopped atomic.Bool
	var callers sync.WaitGroup
	firstTurns, firstServed := 0, 0
	callers.Go(func() {
		for !stopped.Load() {
			a := turn(&program{id: fmt.Sprintf("%x", rand.Uint64())}, fmt.Sprintf("please quote drawing %x", rand.Uint64()))
			mu.Lock()
			firstTurns++
			if a.status == http.StatusOK {
				firstServed++
			}
			mu.Unlock()
			time.Sleep(100 * time.Millisecond)
		}
	})
	for _, p := range programs[:len(programs)-1] {
		callers.Go(func() {
			// A turn that has failed is sent again after .1 to .4 s, at most twice.
			for range 3 {
				if a := turn(p, sameInput); a.status == http.StatusOK && a.err == nil {
					return
				}
				time.Sleep(100*time.Millisecond + rand.N(300*time.Millisecond))
			}
		})
	}
	if w.trouble {
		if err := crashTogether(w, &mu, reading, false); err != nil {
			stopped.Store(true)
			callers.Wait()
			return false, err
		}
	}
	// The workers are back after 3 s; the rule leaves out the stableWindowMs after that.
	time.Sleep(crashedFor + calmTime)
	mu.Lock()
	firstTurns, firstServed = 0, 0
	mu.Unlock()
	from := time.Now()
	tries, reached := 0, false
	for tries < 2*minTries && !reached && time.Since(from) < programAim/2 {
		before := len(w.allArrivals())
		a := turn(last, sameInput)
		tries++
		reached = a.status == http.StatusOK
		for _, arrived := range w.allArrivals()[before:] {
			reached = reached || strings.HasSuffix(arrived.body, sameInput)
		}
		time.Sleep(100*time.Millisecond + rand.N(300*time.Millisecond))
	}
	stopped.Store(true)
	callers.Wait()
	mu.Lock()
	defer mu.Unlock()
	w.logf("the turn that goes on from a turn kept %d s ago: %d tries, reached a worker: %v", int(time.Since(keptAt).Seconds()), tries, reached)
	w.logf("meanwhile %d of %d first turns were served", firstServed, firstTurns)
	return !reached && tries >= minTries && float64(firstServed) >= firstTurnShare*float64(firstTurns), nil
}

// sameInput is what the callers of all these programs say next.
const sameInput = "yes"
