package plugins

import "github.com/hyssopreel/hyssopreel/core/sched/framework"

// noDeadlineRank places programs without a deadline after the others; it is later than any deadline in
// milliseconds since 1970.
const noDeadlineRank = 1e15

// newDeadline returns the policy that serves the program with the next deadline first, among the programs
// that the cache can hold. Programs without a deadline go by age.
func newDeadline() framework.Policy {
	return ProgramPolicy{PolicyName: "deadline", RankFunc: rankByDeadline, CacheOvercommit: cacheOvercommit, LocalityWait: localityWaitMS}
}

func rankByDeadline(_ *framework.Group, c *framework.Call) float64 {
	if c.Program.Deadline == 0 {
		return noDeadlineRank + float64(c.Program.OpenedAt)
	}
	return float64(c.Program.Deadline)
}
