package sched

import (
	"maps"
	"time"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/poison"
	"github.com/hyssopreel/hyssopreel/core/sched/framework"
)

// workerEndWindow is the time in milliseconds within which all calls at a worker report its end.
const workerEndWindow clock.Millis = 1000

// workerEnd is the last end of a worker. Calls that report it within workerEndWindow report the same one.
type workerEnd struct {
	at    clock.Millis
	count int64
}

// endedLifetime returns the lifetime of the worker that ends now. Workers keep their names from one to the next.
func (g *group) endedLifetime(worker string) poison.Lifetime {
	end, ok := g.workerEnds[worker]
	if !ok || g.Now-end.at > workerEndWindow {
		end = workerEnd{at: g.Now, count: end.count + 1}
		g.workerEnds[worker] = end
	}
	return poison.Lifetime{Server: worker, StartedAtMS: end.count}
}

// time returns the group's clock for packages that use time.Time.
func (g *group) time() time.Time { return time.UnixMilli(int64(g.Now)) }

// recordOutcome records what the end of a call shows of its request: that it ended its worker, or that it does not.
func (g *group) recordOutcome(c *call, w *framework.Worker, m Finished) {
	switch {
	case m.WorkerEnded:
		g.poison.RecordEnd(g.time(), c.fingerprints, 0, poison.End{
			Lifetime: g.endedLifetime(w.Name), Ran: time.Duration(g.Now-c.GrantedAt) * time.Millisecond, Began: m.Began,
		})
	case !m.Failed:
		g.poison.RecordSuccess(g.time(), time.UnixMilli(int64(c.GrantedAt)), c.fingerprints)
	}
}

func (g *group) expirePoison() {
	g.poison.Expire(g.time())
	maps.DeleteFunc(g.workerEnds, func(_ string, e workerEnd) bool { return g.Now-e.at > programIdleTTL })
}
