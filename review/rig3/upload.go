package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// answerCutShort lets one of two workers break off a few of its answers to long uploads. Both answer before an upload is in, with
// an answer that has no length and ends with its channel. One that is broken off ends with a reset.
func answerCutShort(r *rig) (bool, error) {
	const (
		uploads     = 500
		uploadBytes = 4_000_000
		perSecond   = 9
	)
	var workers []*earlyWorker
	for zone := 1; zone <= 2; zone++ {
		w, err := r.addEarlyWorker(zone, r.trouble && zone == 1)
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
	body := strings.Repeat("u", uploadBytes)
	counts := map[string]int{}
	mixed := 0
	var mu sync.Mutex
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	for i := range uploads {
		<-ticker.C
		group.Go(func() {
			attempt := newID()
			status, stamp, got := c.upload(addresses[i%len(addresses)], attempt, body)
			cut := workers[0].wasCut(attempt) || workers[1].wasCut(attempt)
			result := fmt.Sprintf("answer of the worker cut off: %v; the consumer gets status %d", cut, status)
			isMixed := status == http.StatusOK && got != wholeAnswer(attempt)
			if isMixed {
				result += ", with a part of the body as if it were whole"
				r.note("MIXED: attempt %s, stamp %s: the consumer gets %d of %d bytes in an answer that is complete", attempt, stamp, len(got), len(wholeAnswer(attempt)))
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
		r.note("%d uploads: %s", n, result)
	}
	return mixed > 0, nil
}

// wholeAnswer is the body of a worker's answer.
func wholeAnswer(attempt string) string { return strings.Repeat("answer to "+attempt+"\n", 200) }

// earlyWorker is a worker of the plain service that answers before it has read a long body.
type earlyWorker struct {
	id string
	// breaksOff is set for a worker in trouble.
	breaksOff bool

	mu  sync.Mutex
	n   int
	cut map[string]bool
}

// brokenOffEach is the number of answers of which one is broken off: 0.029 of them.
const brokenOffEach = 34

func (r *rig) addEarlyWorker(zone int, breaksOff bool) (*earlyWorker, error) {
	w := &earlyWorker{id: fmt.Sprintf("i-early-%d", zone), breaksOff: breaksOff, cut: map[string]bool{}}
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
			go w.serve(conn.(*net.TCPConn))
		}
	}()
	r.store.Put("servers", w.id, map[string]any{
		"service": appService, "address": address, "zone": fmt.Sprintf("zone-%c", 'a'+zone-1), "version": "v1", "slots": 24, "state": "ready", "coldLeftMs": 0, "sequence": 1,
		"born": time.Now().UnixMilli(),
	})
	return w, nil
}

func (w *earlyWorker) wasCut(attempt string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut[attempt]
}

// serve answers one request of a channel with an answer that has no length and ends with the channel. One that is
// broken off is cut in the middle by a reset, while the body of the request is still coming.
func (w *earlyWorker) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadBuffer(64 << 10)
	in, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	attempt := in.Header.Get("Hyssopreel-Attempt-Id")
	whole := wholeAnswer(attempt)
	w.mu.Lock()
	w.n++
	cut := w.breaksOff && w.n%brokenOffEach == brokenOffEach/2
	w.cut[attempt] = cut
	w.mu.Unlock()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nHyssopreel-Attempt-Id: %s\r\nHyssopreel-Server-Stamp: stamp.%s.%s\r\nConnection: close\r\n\r\n", attempt, w.id, attempt)
	if _, err := io.WriteString(conn, head+whole[:len(whole)/2]); err != nil {
		return
	}
	if cut {
		time.Sleep(20 * time.Millisecond)
		_ = conn.SetLinger(0) // the channel is reset
		return
	}
	_, _ = io.Copy(io.Discard, in.Body) // read on, and end the answer then
	_, _ = io.WriteString(conn, whole[len(whole)/2:])
}

// upload sends a request with a long body to a non_idempotent route. An answer that ends early has status 0.
func (c *consumer) upload(address, attempt, body string) (status int, stamp, got string) {
	const timeout = 3 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/order/1", io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return 0, "", ""
	}
	req.ContentLength, req.Host = int64(len(body)), siteName
	req.Header.Set("Hyssopreel-Attempt-Id", attempt)
	req.Header.Set("Hyssopreel-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, "", ""
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", ""
	}
	return resp.StatusCode, resp.Header.Get("Hyssopreel-Server-Stamp"), string(b)
}
