package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// freezeTime is that of the site, and leaveDelay the time from its end until a worker leaves.
	freezeTime = 3200 * time.Millisecond
	leaveDelay = 500 * time.Millisecond
	// lookupPause is the pause between two requests to one host.
	lookupPause = 8 * time.Millisecond
	// deployments is how often the case is tried: whether a calm host reads the frozen one's list afterwards differs.
	deployments = 9
)

// runFreeze freezes the entry host that lists the workers at intervals. After it is back, a worker leaves without a report.
// Callers send requests to the other hosts of its zone, which were calm all the while.
func runFreeze(w *world) (bool, error) {
	for deployment := 1; deployment <= deployments; deployment++ {
		w.logf("deployment %d of %d", deployment, deployments)
		broken, err := freezeOnce(w)
		if broken || err != nil {
			return broken, err
		}
		w.reset()
	}
	return false, nil
}

func freezeOnce(w *world) (bool, error) {
	w.putConfig(7, []map[string]any{{
		"name": "r-lookup", "host": callerHost, "pathPrefix": "/slots/", "kind": "idempotent", "timeoutMs": 1200, "targetLatencyMs": 150, "priority": 2,
		"service": "booking-app", "attempts": 2, "retain": false, "sticky": false,
	}}, []map[string]any{{"name": "booking-app", "healthPath": "/healthz", "maxConns": 110}})
	serve := func(_ *worker, _ string, out http.ResponseWriter, _ *http.Request, _ string) {
		time.Sleep(5 * time.Millisecond)
		_, _ = out.Write(make([]byte, 800))
	}
	for i := range 7 {
		w.addWorker("booking-app", zones[i%len(zones)], 6, serve)
	}
	for i, n := range []int{4, 3, 2} {
		for number := range n {
			w.addHost("entry", zones[i], number+1)
		}
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var poller *host
	for _, h := range w.hosts {
		if poller == nil || h.readsSince(time.Now().Add(-3*time.Second)) > poller.readsSince(time.Now().Add(-3*time.Second)) {
			poller = h
		}
	}
	w.logf("host %s lists the workers most often", poller.name)
	var calm []*host
	for _, h := range w.hosts {
		if h != poller && h.zone == poller.zone {
			calm = append(calm, h)
		}
	}
	if len(calm) == 0 {
		return false, fmt.Errorf("no other host is in zone %s", poller.zone)
	}
	return w.leaveAfterFreeze(poller, calm, w.workers[0]), nil
}

// leaveAfterFreeze freezes a host and lets a worker leave afterwards. It reports whether a calm host sent the worker requests
// too late.
func (w *world) leaveAfterFreeze(frozen *host, calm []*host, leaving *worker) bool {
	if w.trouble {
		w.logf("host %s is frozen", frozen.name)
		_ = frozen.cmd.Process.Signal(syscall.SIGSTOP)
	}
	time.Sleep(freezeTime)
	if w.trouble {
		_ = frozen.cmd.Process.Signal(syscall.SIGCONT)
		w.logf("host %s goes on", frozen.name)
	}
	time.Sleep(leaveDelay)
	leaving.unlist()
	goneAt := time.Now()
	w.logf("worker %s: the store has accepted that its entry is removed; it goes on serving", leaving.id)
	time.Sleep(drainTime - 200*time.Millisecond)
	var stopped atomic.Bool
	var callers sync.WaitGroup
	for _, h := range calm {
		callers.Go(func() {
			for n := 0; !stopped.Load(); n++ {
				callers.Go(func() {
					w.call(h, http.MethodGet, "/slots/2f", fmt.Sprintf("%s-%d-%d", h.name, goneAt.UnixMilli(), n), "", map[string]string{"Hyssopreel-Deadline-Ms": "1200"})
				})
				time.Sleep(lookupPause)
			}
		})
	}
	time.Sleep(1200 * time.Millisecond)
	stopped.Store(true)
	callers.Wait()
	late, latest := 0, time.Duration(0)
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	for _, a := range leaving.arrivals {
		if d := a.at.Sub(goneAt); d > drainTime {
			late++
			latest = max(latest, d)
		}
	}
	w.logf("after the freeze of %s: %d requests reached worker %s later than %v after it was gone, the last one after %d ms", frozen.name, late, leaving.id, drainTime, latest.Milliseconds())
	return late > 0
}
