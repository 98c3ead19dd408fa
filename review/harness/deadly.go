package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// heartbeat is the ping interval of the workers.
	heartbeat = 1200 * time.Millisecond
	// downTime is how long a worker that crashed is away.
	downTime = 3 * time.Second
	// stableWindow is the time after which a calm machine is in touch again.
	stableWindow = 3 * time.Second
	// allowedRetries is the number of retries that the rule allows after the third crash.
	allowedRetries = 3
	deadlyPath     = turnPrefix + "deadly"
)

// crash is one worker that ended as it began to run a deadly request.
type crash struct {
	at     time.Time
	path   string
	worker string
	host   string
}

// deadlyEngines are engines that end when they begin to run a deadly request.
type deadlyEngines struct {
	lab *lab
	// failing is the ID of the engine that fails a part of its requests, empty if there is none.
	failing atomic.Value

	mu      sync.Mutex
	crashes []crash
	starts  int
}

// start starts an engine; each start is a new lifetime with a new ID, at the address that it had.
func (d *deadlyEngines) start(zone, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.starts++
	w := &worker{
		lab: d.lab, id: fmt.Sprintf("i-%s-%d", engines, d.starts), service: engines, zone: zone, address: listener.Addr().String(),
		slots: 16, born: time.Now().UnixMilli(),
	}
	w.work.Store(int64(5 * time.Millisecond))
	d.mu.Unlock()
	server := &http.Server{Handler: w}
	var once sync.Once
	w.run = func(rw http.ResponseWriter, r *http.Request) bool {
		if d.failing.Load() == w.id && rand.Float64() < failingShare {
			w.fail(rw, r)
			return true
		}
		if !strings.HasPrefix(r.URL.Path, deadlyPath) {
			return false
		}
		once.Do(func() { d.end(w, server, r) })
		panic(http.ErrAbortHandler)
	}
	go func() { _ = server.Serve(listener) }()
	w.register("ready")
	return nil
}

// end ends an engine; its entry lapses after three ping intervals, and it starts again after downTime.
func (d *deadlyEngines) end(w *worker, server *http.Server, r *http.Request) {
	_ = server.Close()
	attempt := r.Header.Get("Hyssopreel-Attempt-Id")
	d.lab.mu.Lock()
	host := d.lab.sentTo[attempt]
	d.lab.mu.Unlock()
	d.mu.Lock()
	d.crashes = append(d.crashes, crash{time.Now(), r.URL.Path, w.id, host})
	n := len(d.crashes)
	d.mu.Unlock()
	d.lab.logf("crash %d: %s ends as it begins to run %s, attempt %s, sent by %s", n, w.id, r.URL.Path, attempt, host)
	time.AfterFunc(3*heartbeat, func() { d.lab.store.Delete("servers", w.id) })
	time.AfterFunc(downTime, func() {
		if err := d.start(w.zone, w.address); err != nil {
			d.lab.logf("%s does not start again: %v", w.id, err)
		}
	})
}

// newDeadly starts the entry machines of tobyl-benches, and engines that deadly requests end.
func newDeadly(l *lab, engineCount int) (*deadlyEngines, error) {
	if err := l.addHosts(tobylZones...); err != nil {
		return nil, err
	}
	l.putConfig(1, app)
	d := &deadlyEngines{lab: l}
	for i := range engineCount {
		if err := d.start([]string{"almaty-a", "almaty-b", "almaty-c"}[i%3], "127.0.0.1:0"); err != nil {
			return nil, err
		}
	}
	if err := l.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(stableWindow + time.Second)
	return d, nil
}

// runDeadly sends a request that crashes the workers which run it again and again, and kills all entry processes at the
// same moment in between.
func runDeadly(l *lab, trouble bool) (bool, error) {
	d, err := newDeadly(l, 9)
	if err != nil {
		return false, err
	}
	body := strings.Repeat("the same body ", 20)
	sendFor := func(t time.Duration) {
		for i, until := 0, time.Now().Add(t); time.Now().Before(until); i++ {
			ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
			l.send(ctx, l.hosts[i%len(l.hosts)], http.MethodPost, deadlyPath, map[string]string{
				"Hyssopreel-Deadline-Ms": "4000", "Hyssopreel-Model": "m", "Hyssopreel-Token-Count": "400,70",
			}, body)
			cancel()
			time.Sleep(time.Second)
		}
	}
	sendFor(18 * time.Second)
	var restarted time.Time
	if trouble {
		for _, h := range l.hosts {
			_ = h.cmd.Process.Kill()
		}
		for _, h := range l.hosts {
			l.kill(h)
		}
		time.Sleep(800 * time.Millisecond)
		restarted = time.Now()
		for _, h := range l.hosts {
			if err := h.restarted(); err != nil {
				return false, err
			}
			if err := l.start(h); err != nil {
				return false, err
			}
		}
		if err := l.waitReady(l.hosts...); err != nil {
			return false, err
		}
	}
	time.Sleep(stableWindow + time.Second)
	sendFor(18 * time.Second)
	return d.judge(deadlyPath, restarted), nil
}

// countedRetries returns the number of crashes by the request with that path, and how many of them are retries that the rule
// counts: sent by machines in touch later than stableWindow after the third crash. All machines were started again at
// restarted, unless it is zero.
func (d *deadlyEngines) countedRetries(path string, restarted time.Time) (crashes, counted int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var third time.Time
	for _, c := range d.crashes {
		if c.path != path {
			continue
		}
		crashes++
		if crashes == 3 {
			third = c.at
		}
		inTouch := restarted.IsZero() || c.at.Before(restarted) || c.at.Sub(restarted) > stableWindow
		if crashes > 3 && c.at.Sub(third) > stableWindow && inTouch {
			counted++
		}
	}
	return crashes, counted
}

// judge reports whether the request with that path reached workers too often.
func (d *deadlyEngines) judge(path string, restarted time.Time) bool {
	crashes, counted := d.countedRetries(path, restarted)
	d.lab.logf("%s: %d crashes, %d retries that count, allowed: %d", path, crashes, counted, allowedRetries)
	fmt.Printf("%s: %d crashes, %d retries that count, allowed %d\n", path, crashes, counted, allowedRetries)
	return counted > allowedRetries
}
