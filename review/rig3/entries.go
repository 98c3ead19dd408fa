package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// appService is a plain service.
const appService = "app"

// foreignEntry puts an entry of another writer into the list of workers, which lacks fields that an entry of a worker has.
func foreignEntry(r *rig) (bool, error) {
	const (
		requests  = 600
		perSecond = 60
	)
	for zone := 1; zone <= 3; zone++ {
		if _, err := r.addWorker(appService, zone, 1, 6); err != nil {
			return false, err
		}
	}
	for zone := 1; zone <= 3; zone++ {
		r.addHost("entry", zone, 1)
	}
	r.putConfig()
	if err := r.start(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	c := newConsumer(r)
	addresses, err := c.addresses()
	if err != nil {
		return false, err
	}
	var received atomic.Int64
	if r.trouble {
		address := r.address(40, 1, r.ports.worker)
		if err := r.serve(address, http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
			received.Add(1)
			r.note("the server of the other writer gets %s %s, attempt %s", in.Method, in.URL.Path, in.Header.Get("Hyssopreel-Attempt-Id"))
			w.Header().Set("Connection", "close")
			http.NotFound(w, in)
		})); err != nil {
			return false, err
		}
		// No version, no coldLeftMs, no sequence, no born.
		r.store.Put("servers", "other-1", map[string]any{"service": appService, "address": address, "zone": "zone-a", "slots": 6, "state": "ready"})
		r.note("another writer has made an entry without version, coldLeftMs, sequence and born")
	}
	time.Sleep(3 * time.Second)
	counts := map[string]int{}
	var mu sync.Mutex
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	for i := range requests {
		<-ticker.C
		group.Go(func() {
			method, path := http.MethodGet, "/look/1"
			if i%2 == 1 {
				method, path = http.MethodPost, "/order/1"
			}
			attempt := newID()
			status, stamp, body := c.call(addresses[i%len(addresses)], method, path, attempt)
			result := fmt.Sprintf("%s %d", method, status)
			if status != http.StatusOK {
				result = fmt.Sprintf("%s, worker's stamp %q", result, stamp)
				r.note("%s %s, attempt %s: status %d, stamp %q, body %q", method, path, attempt, status, stamp, body)
			}
			mu.Lock()
			defer mu.Unlock()
			counts[result]++
		})
	}
	group.Wait()
	denied := 0
	for result, n := range counts {
		r.note("%d requests: %s", n, result)
		if result != "GET 200" && result != "POST 200" {
			denied += n
		}
	}
	r.note("the server of the other writer got %d requests", received.Load())
	return denied > 5+requests/500, nil
}

// call sends a request to a plain service.
func (c *consumer) call(address, method, path, attempt string) (status int, stamp, body string) {
	const timeout = 3 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return 0, "", err.Error()
	}
	req.Host = siteName
	req.Header.Set("Hyssopreel-Attempt-Id", attempt)
	req.Header.Set("Hyssopreel-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, "", err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", err.Error()
	}
	return resp.StatusCode, resp.Header.Get("Hyssopreel-Server-Stamp"), string(b)
}
