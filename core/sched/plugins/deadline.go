package plugins

import "github.com/hyssopreel/hyssopreel/core/sched/framework"

// noDeadlineRank orders programs without a deadline after all others: it exceeds any deadline in milliseconds since
// 1970.
const noDeadlineRank = 1e15

// newDeadline returns the earliest deadline first (EDF) policy, with the admission by cache and the cache affinity
// of ProgramPolicy. Programs without a deadline follow, the oldest first.
func newDeadline() framework.Policy {
	return ProgramPolicy{PolicyName: "deadline", RankFunc: rankByDeadline, CacheOvercommit: cacheOvercommit, CacheAffinityDelay: cacheAffinityDelayMS}
}

func rankByDeadline(_ *framework.Group, c *framework.Call) float64 {
	if c.Program.Deadline == 0 {
		return noDeadlineRank + float64(c.Program.OpenedAt)
	}
	return float64(c.Program.Deadline)
}
