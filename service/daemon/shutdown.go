package daemon

import (
	"context"
	"time"

	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/service/entry"
)

// shutdown ends the incarnation without cutting off a request:
//
//  1. the host is draining: callers are sent elsewhere and new programs are refused;
//  2. requests for the programs that live here wait at the entry, and those that were under way finish;
//  3. when every turn is durable, an heir adopts the journal, and the waiting requests go to the heir;
//  4. the listener stays open until the answers to "which host" that name this host have run out.
//
// The wait for requests is bounded by drain_limit. The wait for turns to become durable is not: while the
// store is down, the host stays.
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
		done := d.handover(work)
		d.entry.ResumeLocalRequests()
		if done {
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

// quiesce returns when no request for the programs of this host is under way and every turn is durable. From
// then on requests wait at the entry. While the store is down, programs go on as usual: requests that waited
// for the store would hang for as long as it is down.
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

// drainFenced lets the requests that a deposed incarnation still has finish: those that it passes on to
// other homes, and those that it answers with "moved". New requests are refused until the next incarnation serves.
func (d *Daemon) drainFenced(work context.Context) {
	const limit = 5 * time.Second
	d.frontend.setHandler(nil)
	d.waitUntil(work, time.Now().Add(limit), d.frontend.idle)
	d.frontend.cancelRequests()
}

// handover gives the programs to an heir. If there is none, for example because all hosts shut down, the
// journal waits in the store for the next host that starts.
// It returns false if it is to be tried again, because the store failed meanwhile.
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

// storeAvailable says whether this host can write to the store: its last renewal and its last commit got through.
func (d *Daemon) storeAvailable() bool { return d.home.StoreAvailable() && d.members.StoreAvailable() }

// successorKey ranks the hosts that could be heirs; only their number matters.
const successorKey = "heir"

// waitUntil polls done until it is true, the deadline has passed (zero is no deadline), or the host was deposed.
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
