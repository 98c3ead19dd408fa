package engine

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/go-chi/chi/v5"

	"github.com/hyssopreel/hyssopreel/standin/internal/control"
)

// fetchRetryDelay is the time between attempts to reach the weight store when it names none.
const fetchRetryDelay = 500 * time.Millisecond

func (e *Engine) releaseCache(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Program string `json:"program"`
	}
	if !control.DecodeBody(w, r, &body) {
		return
	}
	if e.faults.Get().RefuseRelease {
		control.WriteError(w, http.StatusInternalServerError, "cache release failed")
		return
	}
	e.mu.Lock()
	n := e.cache.release(body.Program)
	e.counters.CacheReleases[body.Program]++
	e.recordLoad()
	e.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, map[string]int{"released_tokens": n})
}

func (e *Engine) listPrograms(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	list := e.cache.programs()
	e.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, map[string]any{"programs": list})
}

func (e *Engine) listEvents(w http.ResponseWriter, r *http.Request) {
	var after uint64
	if v := r.URL.Query().Get("after"); v != "" {
		var err error
		if after, err = strconv.ParseUint(v, 10, 64); err != nil {
			control.WriteError(w, http.StatusBadRequest, "after: "+err.Error())
			return
		}
	}
	e.mu.Lock()
	events, next := e.cache.events.visibleAfter(after)
	e.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, map[string]any{"events": events, "next": next})
}

type cacheExport struct {
	id    string
	words []uint64
}

// exportCache keeps a copy of the program's cache. The reference is the URL under which the importing
// engine fetches it; it lasts until maxExports later exports, or until this engine ends.
func (e *Engine) exportCache(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Program string `json:"program"`
	}
	if !control.DecodeBody(w, r, &body) {
		return
	}
	e.mu.Lock()
	var words []uint64
	if c := e.cache.entries[body.Program]; c != nil {
		words = c.words
	}
	e.lastExportID++
	x := cacheExport{id: strconv.Itoa(e.lastExportID), words: words}
	if len(words) > 0 {
		e.exports = append(e.exports, x)
		e.exports = e.exports[max(0, len(e.exports)-maxCacheExports):]
	}
	e.mu.Unlock()
	if len(words) == 0 {
		control.WriteError(w, http.StatusNotFound, "no cache of the program")
		return
	}
	control.Sleep(r.Context(), time.Duration(len(words))*e.cfg.TransferPerToken)
	control.WriteJSON(w, http.StatusOK, map[string]any{
		"reference": "http://" + r.Host + "/v1/cache/exported/" + x.id, "tokens": len(words),
	})
}

// serveExport sends the hashes of the words, 8 bytes each in little-endian order.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	e.mu.Lock()
	i := slices.IndexFunc(e.exports, func(x cacheExport) bool { return x.id == id })
	var b []byte
	if i >= 0 {
		for _, word := range e.exports[i].words {
			b = binary.LittleEndian.AppendUint64(b, word)
		}
	}
	e.mu.Unlock()
	if i < 0 {
		control.WriteError(w, http.StatusNotFound, "no such export")
		return
	}
	_, _ = w.Write(b) // the caller may have gone
}

func (e *Engine) importCache(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Program   string `json:"program"`
		Reference string `json:"reference"`
	}
	if !control.DecodeBody(w, r, &body) {
		return
	}
	words, err := fetchExport(r.Context(), body.Reference)
	if err != nil {
		control.WriteError(w, http.StatusNotFound, err.Error())
		return
	}
	control.Sleep(r.Context(), time.Duration(len(words))*e.cfg.TransferPerToken)
	e.mu.Lock()
	n := e.cache.importWords(body.Program, words)
	e.recordLoad()
	e.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, map[string]int{"tokens": n})
}

func fetchExport(ctx context.Context, reference string) ([]uint64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, reference, nil)
	if err != nil {
		return nil, fmt.Errorf("reference: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("export %s: %s", reference, resp.Status)
	}
	words := make([]uint64, 0, len(b)/8)
	for ; len(b) >= 8; b = b[8:] {
		words = append(words, binary.LittleEndian.Uint64(b))
	}
	return words, nil
}

// Kinds of orders.
const (
	orderLoadModel   = "load_model"
	orderLoadAdapter = "load_adapter"
	orderSetRole     = "set_role"
)

// Order is the body of POST /v1/orders.
type Order struct {
	FencingToken uint64 `json:"fence"`
	Holder       string `json:"holder"`
	Kind         string `json:"kind"`
	Model        string `json:"model,omitempty"`
	Version      string `json:"version,omitempty"`
	Adapter      string `json:"adapter,omitempty"`
	Role         string `json:"role,omitempty"`
}

// OrderRecord is an arrived order in the counters.
type OrderRecord struct {
	Order
	Accepted bool  `json:"accepted"`
	UnixMS   int64 `json:"unix_ms"`
	// ActiveRequests is the number of requests in the batch and waiting when the order arrived.
	ActiveRequests int `json:"running"`
}

// orderState is the answer of GET /v1/orders/state.
type orderState struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
	Loading  bool     `json:"loading"`
	// FencingToken is the highest number seen by an engine that checks it, else that of the last order.
	FencingToken uint64 `json:"fence"`

	pendingLoads int // orders to load in progress
	modelLoads   int // load_model orders so far; the latest one wins
}

func (e *Engine) serveOrderState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	state := e.orderState
	state.Adapters = slices.Clone(state.Adapters)
	e.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, state)
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !control.DecodeBody(w, r, &o) {
		return
	}
	if !slices.Contains([]string{orderLoadModel, orderLoadAdapter, orderSetRole}, o.Kind) {
		control.WriteError(w, http.StatusBadRequest, fmt.Sprintf("unknown kind of order %q", o.Kind))
		return
	}
	e.mu.Lock()
	accepted := !e.cfg.ChecksFencing || o.FencingToken >= e.orderState.FencingToken
	e.counters.Orders = append(e.counters.Orders, OrderRecord{
		Order: o, Accepted: accepted, UnixMS: time.Now().UnixMilli(), ActiveRequests: len(e.running) + len(e.waiting),
	})
	if accepted {
		e.startOrder(o)
	}
	fence := e.orderState.FencingToken
	e.mu.Unlock()
	if !accepted {
		control.WriteJSON(w, http.StatusConflict, map[string]uint64{"fence": fence})
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// startOrder starts to carry an order out. Requests that were accepted before an order to load go on. The
// caller holds the lock.
func (e *Engine) startOrder(o Order) {
	e.orderState.FencingToken = o.FencingToken
	if o.Kind == orderSetRole {
		e.orderState.Role = o.Role
		return
	}
	e.orderState.Loading = true
	e.orderState.pendingLoads++
	if o.Kind == orderLoadModel {
		e.orderState.modelLoads++
	}
	go e.loadWeights(o, e.orderState.modelLoads)
}

// loadWeights fetches the weights and then puts the model or the adapter in force. A later load_model order ends
// the loading of an earlier one.
func (e *Engine) loadWeights(o Order, number int) {
	model, current := o.Adapter, func() bool { return true }
	if o.Kind == orderLoadModel {
		model, current = o.Model, func() bool { return e.isLatestModelLoad(number) }
	}
	loaded := false
	for !loaded && current() && e.ctx.Err() == nil {
		loaded = e.fetchWeights(model, o.Version)
	}
	loaded = loaded && control.Sleep(e.ctx, e.cfg.LoadDelay)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orderState.pendingLoads--
	e.orderState.Loading = e.orderState.pendingLoads > 0
	switch {
	case !loaded:
	case o.Kind == orderLoadModel && e.orderState.modelLoads == number:
		e.setModel(o)
	case o.Kind == orderLoadAdapter && !slices.Contains(e.orderState.Adapters, o.Adapter):
		e.orderState.Adapters = append(slices.Clone(e.orderState.Adapters), o.Adapter)
	}
}

// setModel drops the cache if the model or its version changes, because the old cache does not fit.
func (e *Engine) setModel(o Order) {
	if e.orderState.Model != o.Model || e.orderState.Version != o.Version {
		e.cache.clear()
		e.recordLoad()
	}
	e.orderState.Model, e.orderState.Version = o.Model, o.Version
}

func (e *Engine) isLatestModelLoad(number int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orderState.modelLoads == number
}

// fetchWeights asks the weight store once; after a failure it returns false when it is time to ask again.
func (e *Engine) fetchWeights(model, version string) bool {
	if e.cfg.WeightStoreURL == "" {
		return true
	}
	body, err := json.Marshal(map[string]string{"model": model, "version": version})
	if err != nil {
		log.WithError(err).Error("encode fetch")
		return false
	}
	req, err := http.NewRequestWithContext(e.ctx, http.MethodPost, e.cfg.WeightStoreURL+"/v1/fetch", strings.NewReader(string(body)))
	if err != nil {
		log.WithError(err).WithField("weights", e.cfg.WeightStoreURL).Error("weight store address")
		control.Sleep(e.ctx, fetchRetryDelay)
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		control.Sleep(e.ctx, fetchRetryDelay)
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // lets the connection be used again
	if resp.StatusCode == http.StatusOK {
		return true
	}
	wait := fetchRetryDelay
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && s > 0 {
		wait = time.Duration(s) * time.Second
	}
	control.Sleep(e.ctx, wait)
	return false
}
