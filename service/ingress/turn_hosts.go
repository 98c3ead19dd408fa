package ingress

import (
	"context"
	"sync"

	"github.com/hyssopreel/hyssopreel/service/turns"
)

// newDiskHostInformer returns the informer of the hosts with a disk, which runs only while a route retains turns.
func (h *Host) newDiskHostInformer() *Informer {
	informer := newInformer(turns.KindDiskHosts)
	informer.PollInterval = hostListFactor * h.settings.Load().Platform.ListInterval
	informer.Replace, informer.Apply = h.turns.Replace, h.turns.Apply
	return informer
}

// retainsTurns reports whether a route of the configuration retains turns.
func (h *Host) retainsTurns() bool {
	table := h.ingress.table.Load()
	return table != nil && table.RetainsTurns()
}

// runTurns follows the hosts with a disk while a route retains turns, until ctx ends.
func (h *Host) runTurns(ctx context.Context) {
	for ctx.Err() == nil {
		if !h.retainsTurns() {
			sleep(ctx, syncPollInterval)
			continue
		}
		runCtx, stop := context.WithCancel(ctx)
		var group sync.WaitGroup
		group.Go(func() { h.heartbeats.informers[turns.KindDiskHosts].Run(runCtx) })
		group.Go(func() { h.turns.Run(runCtx) })
		for runCtx.Err() == nil && h.retainsTurns() {
			sleep(ctx, sweepInterval)
		}
		stop()
		group.Wait()
	}
}
