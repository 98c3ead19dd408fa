package plugins

import "github.com/hyssopreel/hyssopreel/core/sched/framework"

// maxResidualPauseMS is the expected residual time of a pause up to which a program stays resident. Keeping a
// worker's cache of 300,000 tokens idle for 24 s costs as much worker time as computing it again, at 0.08 ms per
// token.
const maxResidualPauseMS = 25_000

// newYielding returns the policy shipped with one difference: a program whose pause is expected to last for more
// than maxResidualPauseMS longer, by the recorded pauses of its tool, stops being resident, so that a new program
// can be admitted to the worker.
func newYielding() framework.Policy {
	return ProgramPolicy{PolicyName: "yielding", RankFunc: rankByRemainingWork, CacheOvercommit: cacheOvercommit, CacheAffinityDelay: cacheAffinityDelayMS, MaxResidualPause: maxResidualPauseMS}
}
