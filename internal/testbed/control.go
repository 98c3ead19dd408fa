package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/hyssopreel/hyssopreel/standin/engine"
	"github.com/hyssopreel/hyssopreel/standin/linkproxy"
	"github.com/hyssopreel/hyssopreel/standin/platform"
	"github.com/hyssopreel/hyssopreel/standin/tool"
	"github.com/hyssopreel/hyssopreel/standin/weights"
)

// controlTimeout bounds one control request.
const controlTimeout = 10 * time.Second

// control sends one control request; in and out may be nil.
func (b *Cluster) control(method, address, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	responseBody, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%s %s%s: %s: %s", method, address, path, resp.Status, responseBody)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(responseBody, out)
}

// SetFaults sets the named faults of stand-ins and keeps the others.
func (b *Cluster) SetFaults(faults json.RawMessage, to ...*Standin) error {
	for _, s := range to {
		if err := b.control(http.MethodPost, s.ControlAddress, "/control/faults", faults, nil); err != nil {
			return fmt.Errorf("%s: %w", s.Name, err)
		}
	}
	return nil
}

// ClearFaults clears all faults of stand-ins.
func (b *Cluster) ClearFaults(of ...*Standin) error {
	for _, s := range of {
		if err := b.control(http.MethodDelete, s.ControlAddress, "/control/faults", nil, nil); err != nil {
			return fmt.Errorf("%s: %w", s.Name, err)
		}
	}
	return nil
}

// ControlLink sends an action, "cut", "silence" or "restore", to the link proxy of the host; see package
// linkproxy.
func (b *Cluster) ControlLink(h *Host, action string) error {
	return b.control(http.MethodPost, h.LinkProxy.ControlAddress, "/control/"+action, nil, nil)
}

// LinkState returns the state of the link proxy of the host.
func (b *Cluster) LinkState(h *Host) (linkproxy.State, error) {
	var s linkproxy.State
	return s, b.control(http.MethodGet, h.LinkProxy.ControlAddress, "/control/state", nil, &s)
}

// SetBackendState sets the state of backend servers in the platform's list and, if address is not empty, their
// address. Otherwise the address is set to the server's own. The list has the change after lag.
func (b *Cluster) SetBackendState(of []*Standin, state, address string, lag time.Duration) error {
	for i := range b.Backends {
		for _, s := range of {
			if b.Backends[i].Name != s.Name {
				continue
			}
			b.Backends[i].State, b.Backends[i].Address = state, s.Address
			if address != "" {
				b.Backends[i].Address = address
			}
		}
	}
	return b.control(http.MethodPut, b.Platform.ControlAddress, "/control/backends",
		map[string]any{"backends": b.Backends, "lag_ms": lag.Milliseconds()}, nil)
}

// EngineCounters returns the counters of each engine, in the order of b.Engines.
func (b *Cluster) EngineCounters() ([]engine.Counters, error) {
	out := make([]engine.Counters, len(b.Engines))
	for i, s := range b.Engines {
		if err := b.control(http.MethodGet, s.ControlAddress, "/control/counters", nil, &out[i]); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// WeightCounters returns the counters of the weight store.
func (b *Cluster) WeightCounters() (weights.Counters, error) {
	var c weights.Counters
	return c, b.control(http.MethodGet, b.Weights.ControlAddress, "/control/counters", nil, &c)
}

// PlatformCounters returns the counters of the platform.
func (b *Cluster) PlatformCounters() (platform.Counters, error) {
	var c platform.Counters
	return c, b.control(http.MethodGet, b.Platform.ControlAddress, "/control/counters", nil, &c)
}

// Executions returns how often tools, services and engines executed the request with the key, by the name of the
// stand-in.
func (b *Cluster) Executions(key string) (map[string]int64, error) {
	out := map[string]int64{}
	for _, s := range append([]*Standin{b.Tools}, b.Services...) {
		var c tool.Counters // plain services have the same counters
		if err := b.control(http.MethodGet, s.ControlAddress, "/control/counters", nil, &c); err != nil {
			return nil, err
		}
		if n := c.Executions[key]; n > 0 {
			out[s.Name] = n
		}
	}
	engines, err := b.EngineCounters()
	for i, c := range engines {
		if n := c.Executions[key]; n > 0 {
			out[b.Engines[i].Name] = n
		}
	}
	return out, err
}

// CacheUsedTokens returns the cache in use at all engines, in tokens by program.
func (b *Cluster) CacheUsedTokens() (map[string]int, error) {
	out := map[string]int{}
	engines, err := b.EngineCounters()
	for _, c := range engines {
		for program, n := range c.CacheUsedTokens {
			out[program] += n
		}
	}
	return out, err
}
