package plugins

import "github.com/hyssopreel/hyssopreel/core/sched/framework"

// maxResidualPauseMS is the expected rest of a pause up to which yielding keeps the place of a program. Holding the cache
// of a worker of 300,000 tokens for 24 s costs as much worker time as computing it again, at 0.08 ms per token.
const maxResidualPauseMS = 25_000

// newYielding returns the policy shipped with a difference: a program whose pause is expected to go on for
// long, by the learned pauses of its tool, gives its place in the cache to a new program.
func newYielding() framework.Policy {
	return ProgramPolicy{PolicyName: "yielding", RankFunc: rankByRemainingWork, CacheOvercommit: cacheOvercommit, LocalityWait: localityWaitMS, MaxResidualPause: maxResidualPauseMS}
}
