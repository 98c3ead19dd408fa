package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// heartbeat is the ping interval of the workers.
	heartbeat = 1200 * time.Millisecond
	// limitWindow and limitSlack are those of the rule.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitKnown is how long before a machine must have passed on an answer with the limit.
	limitKnown = 500 * time.Millisecond
	// namedLimit is the limit of the worker in need, in requests a second.
	namedLimit = 1.0
	// slowWork is the time that a call takes at the worker in need; the sheet has up to 800 ms.
	slowWork = 500 * time.Millisecond
	// callsPerSecond keeps the places of the other workers four fifths in use.
	callsPerSecond = 280
)

// runLimit cuts a worker that names a limit off from the store, so that its entry lapses and comes back, and counts what
// the worker gets.
func runLimit(l *lab, trouble bool) (bool, error) {
	if err := l.addHosts(tobylZones...); err != nil {
		return false, err
	}
	l.putConfig(1, app)
	for i := range 7 {
		zone := []string{"almaty-a", "almaty-b", "almaty-c"}[i%3]
		if _, err := l.addWorker(app, zone, 6, 104*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := l.startAll(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		ticker := time.NewTicker(time.Second / callsPerSecond)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
			case <-stop:
				return
			}
			h := l.hosts[rand.IntN(len(l.hosts))]
			group.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				l.send(ctx, h, http.MethodPost, writePrefix+"x", map[string]string{"Hyssopreel-Deadline-Ms": "3000"}, "a booking")
			})
		}
	})
	needy := l.workers[0]
	time.Sleep(2 * time.Second)
	needy.work.Store(int64(slowWork))
	needy.limit.Store(fmt.Sprint(namedLimit))
	named := time.Now()
	l.logf("%s names its limit %v", needy.id, namedLimit)
	time.Sleep(15 * time.Second)
	for range 3 {
		if trouble {
			l.logf("%s is cut off from the store", needy.id)
			time.Sleep(3 * heartbeat)
			l.store.Delete("servers", needy.id)
			l.logf("the entry of %s is removed", needy.id)
			time.Sleep(5*time.Second - 3*heartbeat)
			needy.register("ready")
			l.logf("the entry of %s is back", needy.id)
		}
		time.Sleep(7 * time.Second)
	}
	close(stop)
	group.Wait()
	return judgeLimit(l, needy, named.Add(3*time.Second)), nil
}

// judgeLimit reports whether the worker got too many requests in some window from the time on. Only those count that came
// from machines which had passed on an answer with the limit half a second before or earlier.
func judgeLimit(l *lab, w *worker, from time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	l.mu.Lock()
	var counted []arrival
	for _, s := range w.sends {
		if known, ok := l.firstLimited[l.sentTo[s.attempt]]; ok && !s.at.Before(from) && s.at.Sub(known) >= limitKnown {
			counted = append(counted, s)
		}
	}
	machines := len(l.firstLimited)
	l.mu.Unlock()
	most, at := 0, from
	for i, first := range counted {
		n := 0
		for _, s := range counted[i:] {
			if s.at.Sub(first.at) < limitWindow {
				n++
			}
		}
		if n > most {
			most, at = n, first.at
		}
	}
	allowed := namedLimit*limitWindow.Seconds()*limitFactor + limitSlack
	l.logf("%d machines have passed on the limit", machines)
	l.logf("%s got %d requests from them in the 4 s from %.3f s on, allowed: %.0f", w.id, most, at.Sub(l.started).Seconds(), allowed)
	fmt.Printf("%d requests in 4 s, allowed %.0f\n", most, allowed)
	return float64(most) > allowed
}
