package daemon

import (
	"context"
	"time"

	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/service/entry"
)

// shutdown ends the incarnation without cutting off a request:
//
//  1. the host is draining: callers are directed to other hosts and new programs are refused;
//  2. new requests for the programs of this host wait at the entry, and active ones finish;
//  3. when every turn is durable, a successor adopts the journal, and the waiting requests are forwarded to it;
//  4. the listener stays open until the host lists that callers cache (entry.HostsTTL) have expired.
//
// The wait for requests is bounded by drain_limit. The wait for durable turns is not: during an outage of the store
// the host keeps running.
func (d *Daemon) shutdown(work context.Context) error {
	started := time.Now()
	logging.Emit(logging.DaemonDraining, logging.Fields{"host": string(d.settings.Host.Name)})
	d.entry.StartDrain()
	d.home.StartDrain()
	drainCtx, cancel := context.WithTimeout(work, handoverTimeout)
	defer cancel()
	if err := d.members.Drain(drainCtx); err != nil {
		logging.Emit(logging.DaemonDrainFailed, logging.Fields{"error": err.Error()})
	}
	for {
		d.quiesce(work, started.Add(d.settings.Limits.DrainTimeout))
		finished := d.handover(work)
		d.entry.ResumeLocalRequests()
		if finished {
			break
		}
	}
	d.waitUntil(work, started.Add(entry.HostsTTL), func() bool { return false })
	d.waitUntil(work, started.Add(d.settings.Limits.DrainTimeout), func() bool { return d.entry.ActiveRequests() == 0 })
	closeCtx, cancelClose := context.WithTimeout(work, handoverTimeout)
	defer cancelClose()
	err := d.frontend.shutdown(closeCtx)
	logging.Emit(logging.DaemonStopped, logging.Fields{"host": string(d.settings.Host.Name), "ms": time.Since(started).Milliseconds()})
	return err
}

// quiesce returns when no request for the programs of this host is active, or the deadline has passed, and every
// turn is durable; from then on requests wait at the entry. While the store is unavailable, requests are served as
// usual, because they would otherwise wait at the entry until the end of the outage.
func (d *Daemon) quiesce(work context.Context, deadline time.Time) {
	for {
		d.waitUntil(work, time.Time{}, d.storeAvailable)
		d.entry.PauseLocalRequests()
		d.waitUntil(work, time.Time{}, func() bool {
			quiet := time.Now().After(deadline) || (d.entry.ActiveLocalRequests() == 0 && d.home.Idle())
			return !d.storeAvailable() || (quiet && d.home.AllDurable())
		})
		if d.storeAvailable() || work.Err() != nil {
			return
		}
		d.entry.ResumeLocalRequests()
	}
}

// drainFenced waits for the active requests of a fenced incarnation, which it forwards to other homes or answers
// with the code moved, and cancels those left after 5 s. New requests are refused until the next incarnation serves
// requests.
func (d *Daemon) drainFenced(work context.Context) {
	const drainTimeout = 5 * time.Second
	d.frontend.setHandler(nil)
	d.waitUntil(work, time.Now().Add(drainTimeout), d.frontend.idle)
	d.frontend.cancelRequests()
}

// handover hands the programs over to a successor. If there is none, for example because all hosts shut down, the
// journal stays in the store for the next host that starts. It returns false if the store failed and the handover
// has to be retried.
func (d *Daemon) handover(work context.Context) bool {
	ctx, cancel := context.WithTimeout(work, handoverTimeout)
	defer cancel()
	go func() {
		d.waitUntil(ctx, time.Time{}, func() bool { return len(d.members.RendezvousOrder(successorKey)) == 0 })
		cancel()
	}()
	if err := d.members.Handover(ctx); err != nil {
		logging.Emit(logging.DaemonHandoverFailed, logging.Fields{"error": err.Error()})
		return d.storeAvailable() || work.Err() != nil
	}
	return true
}

// storeAvailable reports whether the last lease renewal and the last commit of this host reached the store.
func (d *Daemon) storeAvailable() bool { return d.home.StoreAvailable() && d.members.StoreAvailable() }

// successorKey is the rendezvous key for the possible successors; handover needs only their number.
const successorKey = "heir"

// waitUntil polls done until it is true, the deadline has passed (zero is no deadline), work is done or the
// incarnation is fenced.
func (d *Daemon) waitUntil(work context.Context, deadline time.Time, done func() bool) {
	t := time.NewTicker(shutdownPollInterval)
	defer t.Stop()
	for !done() {
		select {
		case <-work.Done():
			return
		case <-d.fenced:
			return
		case now := <-t.C:
			if !deadline.IsZero() && now.After(deadline) {
				return
			}
		}
	}
}
