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

// fetchRetryDelay is the delay between fetches from the weight store if it sends no Retry-After header.
const fetchRetryDelay = 500 * time.Millisecond

func (e *Engine) releaseCache(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Program string `json:"program"`
	}
	if !control.DecodeBody(w, r, &body) {
		return
	}
	if e.faults.Get().RefuseRelease {
		control.WriteError(w, http.StatusInternalServerError, "cache release rejected by the fault refuse_release")
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
	id     string
	hashes []uint64
}

// exportCache keeps a copy of the program's cached prompt and responds with a reference, the URL from which the
// importing engine fetches it. The copy is kept until maxCacheExports later exports or the end of this engine.
func (e *Engine) exportCache(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Program string `json:"program"`
	}
	if !control.DecodeBody(w, r, &body) {
		return
	}
	e.mu.Lock()
	var hashes []uint64
	if c := e.cache.entries[body.Program]; c != nil {
		hashes = c.hashes
	}
	e.lastExportID++
	export := cacheExport{id: strconv.Itoa(e.lastExportID), hashes: hashes}
	if len(hashes) > 0 {
		e.exports = append(e.exports, export)
		e.exports = e.exports[max(0, len(e.exports)-maxCacheExports):]
	}
	e.mu.Unlock()
	if len(hashes) == 0 {
		control.WriteError(w, http.StatusNotFound, fmt.Sprintf("program %q has no cached prompt", body.Program))
		return
	}
	control.Sleep(r.Context(), time.Duration(len(hashes))*e.cfg.TransferPerToken)
	control.WriteJSON(w, http.StatusOK, map[string]any{
		"reference": "http://" + r.Host + "/v1/cache/exported/" + export.id, "tokens": len(hashes),
	})
}

// serveExport responds with the word hashes, 8 bytes each in little-endian order.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	e.mu.Lock()
	i := slices.IndexFunc(e.exports, func(x cacheExport) bool { return x.id == id })
	var b []byte
	if i >= 0 {
		for _, hash := range e.exports[i].hashes {
			b = binary.LittleEndian.AppendUint64(b, hash)
		}
	}
	e.mu.Unlock()
	if i < 0 {
		control.WriteError(w, http.StatusNotFound, fmt.Sprintf("cache export %q does not exist or has been dropped", id))
		return
	}
	_, _ = w.Write(b) // fails only if the caller has disconnected
}

func (e *Engine) importCache(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Program   string `json:"program"`
		Reference string `json:"reference"`
	}
	if !control.DecodeBody(w, r, &body) {
		return
	}
	hashes, err := fetchExport(r.Context(), body.Reference)
	if err != nil {
		control.WriteError(w, http.StatusNotFound, err.Error())
		return
	}
	control.Sleep(r.Context(), time.Duration(len(hashes))*e.cfg.TransferPerToken)
	e.mu.Lock()
	n := e.cache.importHashes(body.Program, hashes)
	e.recordLoad()
	e.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, map[string]int{"tokens": n})
}

func fetchExport(ctx context.Context, reference string) ([]uint64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, reference, nil)
	if err != nil {
		return nil, fmt.Errorf("invalid reference %q: %w", reference, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("read cache export %s: %w", reference, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("fetch cache export %s: %s", reference, resp.Status)
	}
	hashes := make([]uint64, 0, len(b)/8)
	for ; len(b) >= 8; b = b[8:] {
		hashes = append(hashes, binary.LittleEndian.Uint64(b))
	}
	return hashes, nil
}

// Values of Order.Kind.
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

// OrderRecord is the entry of a received order in the counters.
type OrderRecord struct {
	Order
	Accepted bool  `json:"accepted"`
	UnixMS   int64 `json:"unix_ms"`
	// ActiveRequests is the number of running and waiting requests when the order arrived.
	ActiveRequests int `json:"running"`
}

// orderState is the response of GET /v1/orders/state.
type orderState struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
	Loading  bool     `json:"loading"`
	// FencingToken is that of the last accepted order; with Config.ChecksFencing it is the highest one so far.
	FencingToken uint64 `json:"fence"`

	pendingLoads int // load orders in progress
	modelLoads   int // load_model orders so far; only the latest one takes effect
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
		control.WriteError(w, http.StatusBadRequest, fmt.Sprintf("unknown order kind %q", o.Kind))
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
	fencingToken := e.orderState.FencingToken
	e.mu.Unlock()
	if !accepted {
		control.WriteJSON(w, http.StatusConflict, map[string]uint64{"fence": fencingToken})
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// startOrder carries out a set_role order at once and starts the loading of a load order. Requests accepted before a
// load order continue. The caller must hold Engine.mu.
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

// loadWeights fetches the weights of an order and then sets the model or adds the adapter. It retries until the fetch
// succeeds or the engine is closed. A later load_model order stops the loading of an earlier one; number is
// orderState.modelLoads at this order.
func (e *Engine) loadWeights(o Order, number int) {
	name, isCurrent := o.Adapter, func() bool { return true }
	if o.Kind == orderLoadModel {
		name, isCurrent = o.Model, func() bool { return e.isLatestModelLoad(number) }
	}
	loaded := false
	for !loaded && isCurrent() && e.ctx.Err() == nil {
		loaded = e.fetchWeights(name, o.Version)
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

// setModel sets the model. If the model or its version changes, the cached prompts are invalid and dropped.
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

// fetchWeights requests the weights of a model or adapter once. After a failure it waits for the retry delay and
// returns false.
func (e *Engine) fetchWeights(name, version string) bool {
	if e.cfg.WeightStoreURL == "" {
		return true
	}
	body, err := json.Marshal(map[string]string{"model": name, "version": version})
	if err != nil {
		log.WithError(err).Error("cannot encode request to weight store")
		return false
	}
	req, err := http.NewRequestWithContext(e.ctx, http.MethodPost, e.cfg.WeightStoreURL+"/v1/fetch", strings.NewReader(string(body)))
	if err != nil {
		log.WithError(err).WithField("weights", e.cfg.WeightStoreURL).Error("invalid URL of weight store")
		control.Sleep(e.ctx, fetchRetryDelay)
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		control.Sleep(e.ctx, fetchRetryDelay)
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // allows the connection to be reused
	if resp.StatusCode == http.StatusOK {
		return true
	}
	delay := fetchRetryDelay
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds > 0 {
		delay = time.Duration(seconds) * time.Second
	}
	control.Sleep(e.ctx, delay)
	return false
}
