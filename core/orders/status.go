package orders

import (
	"encoding/json"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/event"
)

// writeStatus writes the status object if it changed.
func (s *State) writeStatus(p *pool, at clock.Millis) []event.Effect {
	if p.statusSending != "" || at < p.statusNextTime {
		return nil
	}
	b, err := json.Marshal(s.status(p))
	if err != nil || string(b) == p.statusWritten {
		return nil
	}
	p.statusSending = string(b)
	p.statusNextTime = at.Add(s.times.StatusPause)
	return []event.Effect{WriteStatus{Pool: p.name, Fence: p.lease.Fence, Value: b}}
}

func (s *State) status(p *pool) Status {
	st := Status{Pool: p.name, Manager: s.holder, Fence: p.lease.Fence, Workers: []WorkerStatus{}}
	for _, name := range p.names() {
		w := p.workers[name]
		if !w.known {
			continue
		}
		ws := WorkerStatus{
			Name: name, Model: w.state.Model, Version: w.state.Version, Adapters: w.state.Adapters, Role: w.state.Role,
			State: StateReady, Error: w.lastError,
		}
		switch {
		case p.current == name:
			ws.State, ws.Order = StateLoading, p.order
		case w.unreachable != "":
			ws.State, ws.Error = StateUnreachable, w.unreachable
		case w.failures > 0:
			ws.State = StateFailed
		case nextOrder(p.target, w.state) != nil:
			ws.State = StateWaiting
		}
		st.Workers = append(st.Workers, ws)
	}
	return st
}
