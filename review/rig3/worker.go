package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// siteName is the HTTP host of all requests, and modelService the service of the model workers.
const (
	siteName     = "site.example"
	modelService = "model"
)

// worker is a stand-in of a model worker.
type worker struct {
	rig     *rig
	id      string
	address string
	pieces  int
	work    time.Duration

	mu sync.Mutex
	// runs holds what the worker ran, by attempt.
	runs map[string]execution
}

type execution struct {
	body   string
	output string
}

// addWorker adds a worker of a service, which registers itself in the store.
func (r *rig) addWorker(service string, zone, number, slots int) (*worker, error) {
	w := &worker{
		rig: r, id: fmt.Sprintf("i-%s-%d-%d", service, zone, number), address: r.address(30+zone, number, r.ports.worker),
		pieces: 4, work: 20 * time.Millisecond, runs: map[string]execution{},
	}
	if err := r.serve(w.address, w); err != nil {
		return nil, err
	}
	r.workers = append(r.workers, w)
	r.store.Put("servers", w.id, map[string]any{
		"service": service, "address": w.address, "zone": fmt.Sprintf("zone-%c", 'a'+zone-1), "version": "v1", "slots": slots, "state": "ready",
		"coldLeftMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	return w, nil
}

// ServeHTTP runs a request: a stream of events, each with an ID and data.
func (w *worker) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	attempt := in.Header.Get("Hyssopreel-Attempt-Id")
	out.Header().Set("Hyssopreel-Attempt-Id", attempt)
	if expected := in.Header.Get("Hyssopreel-Expect-Instance"); expected != "" && expected != w.id {
		out.Header().Set("Hyssopreel-Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(in.Body)
	if err != nil {
		return
	}
	run := execution{body: string(body)}
	out.Header().Set("Hyssopreel-Server-Stamp", "stamp."+w.id+"."+attempt)
	out.Header().Set("Hyssopreel-Instance-Load", "1,0,16")
	out.Header().Set("Content-Type", "text/event-stream")
	for i := range w.pieces {
		time.Sleep(w.work / time.Duration(w.pieces))
		data := fmt.Sprintf("piece %d of %s", i+1, attempt)
		run.output += data + "\n"
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s\n\n", i+1, data) // fails if the request was canceled
		_ = http.NewResponseController(out).Flush()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[attempt] = run
}

// execution returns what a worker ran for an attempt.
func (r *rig) execution(attempt string) (execution, bool) {
	for _, w := range r.workers {
		w.mu.Lock()
		run, ok := w.runs[attempt]
		w.mu.Unlock()
		if ok {
			return run, true
		}
	}
	return execution{}, false
}

// putConfig writes the operator's configuration: a route whose turns the system retains, and two of a plain service.
func (r *rig) putConfig() {
	r.store.Put("config", "main", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-turns", "host": siteName, "pathPrefix": "/turns/", "kind": "streaming", "timeoutMs": 3000, "targetLatencyMs": 250, "priority": 1,
			"service": modelService, "attempts": 1, "retain": true, "retentionS": retention.Seconds(), "sticky": true, "resumable": false, "gapAimMs": 200,
		}, {
			"name": "r-look", "host": siteName, "pathPrefix": "/look/", "kind": "idempotent", "timeoutMs": 1500, "targetLatencyMs": 200, "priority": 2,
			"service": appService,
		}, {
			"name": "r-order", "host": siteName, "pathPrefix": "/order/", "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 500, "priority": 2,
			"service": appService, "attempts": 1,
		}},
		"services": []map[string]any{{
			"name": appService, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false,
		}, {
			"name": modelService, "healthPath": "/healthz", "maxConns": 440, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 16, "strideTokens": 16},
		}},
		"limits": map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	r.note("the config is in the store")
}

// retention is retentionS of the route.
const retention = 60 * time.Second
