package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// headSpoiled lets one of two workers spoil a byte in the head of a few of its answers: a blank stands in the name of a field.
func headSpoiled(r *rig) (bool, error) {
	const (
		requests  = 1600
		perSecond = 60
	)
	var workers []*spoilingWorker
	for zone := 1; zone <= 2; zone++ {
		w, err := r.addSpoilingWorker(zone, r.trouble && zone == 1)
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
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
	counts := map[string]int{}
	mixed := 0
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
			spoiled := workers[0].hasSpoiled(attempt) || workers[1].hasSpoiled(attempt)
			result := fmt.Sprintf("%s, head spoiled: %v, status %d", method, spoiled, status)
			isMixed := status == http.StatusOK && body != wholeAnswer(attempt)
			if isMixed {
				result += ", with a body that is not the worker's"
				r.note("MIXED: %s, attempt %s, stamp %s: the consumer gets a complete answer of %d bytes that begins with %q; the worker's body has %d",
					method, attempt, stamp, len(body), body[:min(len(body), 24)], len(wholeAnswer(attempt)))
			}
			mu.Lock()
			defer mu.Unlock()
			counts[result]++
			if isMixed {
				mixed++
			}
		})
	}
	group.Wait()
	for result, n := range counts {
		r.note("%d requests: %s", n, result)
	}
	return mixed > 0, nil
}

// spoilingWorker is a worker of the plain service whose answers come in chunks.
type spoilingWorker struct {
	id string
	// spoils is set for a worker in trouble.
	spoils bool

	mu      sync.Mutex
	n       int
	spoiled map[string]bool
}

func (r *rig) addSpoilingWorker(zone int, spoils bool) (*spoilingWorker, error) {
	w := &spoilingWorker{id: fmt.Sprintf("i-spoil-%d", zone), spoils: spoils, spoiled: map[string]bool{}}
	address := r.address(30+zone, 1, r.ports.worker)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(conn)
		}
	}()
	r.store.Put("servers", w.id, map[string]any{
		"service": appService, "address": address, "zone": fmt.Sprintf("zone-%c", 'a'+zone-1), "version": "v1", "slots": 24, "state": "ready", "coldLeftMs": 0,
		"sequence": 1, "born": time.Now().UnixMilli(),
	})
	return w, nil
}

func (w *spoilingWorker) hasSpoiled(attempt string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.spoiled[attempt]
}

// serve answers one request of a channel, and closes it.
func (w *spoilingWorker) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, in.Body) // a request that is cut off gets an answer that nobody reads
	attempt := in.Header.Get("Hyssopreel-Attempt-Id")
	w.mu.Lock()
	w.n++
	spoil := w.spoils && w.n%brokenOffEach == brokenOffEach/2
	w.spoiled[attempt] = spoil
	w.mu.Unlock()
	field := "Transfer-Encoding"
	if spoil {
		field = "Transfer Encoding"
	}
	body := wholeAnswer(attempt)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nHyssopreel-Attempt-Id: %s\r\nHyssopreel-Server-Stamp: stamp.%s.%s\r\n%s: chunked\r\nConnection: close\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
		attempt, w.id, attempt, field, len(body), body) // if this fails, the caller has left
}
