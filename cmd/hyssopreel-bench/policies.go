package main

import (
	"github.com/hyssopreel/hyssopreel/bench/simulation"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/core/sched/framework"
	"github.com/hyssopreel/hyssopreel/core/sched/plugins"
)

// clairvoyantName names the policy with exact knowledge of the remaining work. It exists in the bench only.
const clairvoyantName = "clairvoyant"

// Settings of the clairvoyant policy. The remaining work of new work is multiplied by clairvoyantNewWorkFactor: of 1, 2
// and 4, the factor 2 gives the lowest p95 latency.
const (
	clairvoyantCacheOvercommit = 1.1
	clairvoyantAffinityDelayMS = 16_000
	clairvoyantNewWorkFactor   = 2
)

// policyNames returns the policies that can be simulated, in the order of the tables.
func policyNames() []string { return append(plugins.Names(), clairvoyantName) }

// simulateCase runs a case. sched.State finds its own policies by name; clairvoyant is passed to it.
func simulateCase(c *benchCase) *simulation.Simulation {
	if c.policy == clairvoyantName {
		return simulation.Run(c.params, c.params.GeneratePrograms(c.load), c.policy, clairvoyant)
	}
	return simulation.Run(c.params, c.params.GeneratePrograms(c.load), c.policy, nil)
}

func clairvoyant(remaining func(ids.Program) float64) framework.Policy {
	rank := func(_ *framework.Group, c *framework.Call) float64 {
		work := remaining(c.Program.ID)
		if c.StartsNewWork() {
			work *= clairvoyantNewWorkFactor
		}
		return work
	}
	return plugins.ProgramPolicy{PolicyName: clairvoyantName, RankFunc: rank, CacheOvercommit: clairvoyantCacheOvercommit, CacheAffinityDelay: clairvoyantAffinityDelayMS}
}
