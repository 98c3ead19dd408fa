package orders

import (
	"encoding/json"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/event"
)

// writeStatus writes the status object if it changed and MinStatusInterval has passed since the last write.
func (s *State) writeStatus(p *pool, at clock.Millis) []event.Effect {
	if p.pendingStatus != "" || at < p.nextStatusWrite {
		return nil
	}
	b, err := json.Marshal(s.status(p))
	if err != nil || string(b) == p.lastStatus {
		return nil
	}
	p.pendingStatus = string(b)
	p.nextStatusWrite = at.Add(s.settings.MinStatusInterval)
	return []event.Effect{WriteStatus{Pool: p.name, FencingToken: p.lease.FencingToken, Value: b}}
}

func (s *State) status(p *pool) PoolStatus {
	status := PoolStatus{Pool: p.name, Manager: s.holder, FencingToken: p.lease.FencingToken, Workers: []WorkerStatus{}}
	for _, name := range p.workerNames() {
		w := p.workers[name]
		if !w.probed {
			continue
		}
		workerStatus := WorkerStatus{
			Name: name, Model: w.state.Model, Version: w.state.Version, Adapters: w.state.Adapters, Role: w.state.Role,
			State: StateReady, Error: w.lastError,
		}
		switch {
		case p.currentWorker == name:
			workerStatus.State, workerStatus.Order = StateLoading, p.order
		case w.readError != "":
			workerStatus.State, workerStatus.Error = StateUnreachable, w.readError
		case w.failures > 0:
			workerStatus.State = StateFailed
		case nextOrder(p.target, w.state) != nil:
			workerStatus.State = StateWaiting
		}
		status.Workers = append(status.Workers, workerStatus)
	}
	return status
}
