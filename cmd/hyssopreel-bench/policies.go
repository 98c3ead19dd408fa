package main

import (
	"github.com/hyssopreel/hyssopreel/bench/simulation"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/core/sched/framework"
	"github.com/hyssopreel/hyssopreel/core/sched/plugins"
)

// clairvoyantName is the policy with perfect knowledge of the remaining work. It exists in the bench only.
const clairvoyantName = "clairvoyant"

// clairvoyantShare, clairvoyantStick (milliseconds) and clairvoyantNew are its settings. A new program counts as
// clairvoyantNew times as long: of 1, 2 and 4, 2 gives the clairvoyant policy its lowest p95.
const (
	clairvoyantCacheOvercommit = 1.1
	clairvoyantAffinityDelayMS = 16_000
	clairvoyantNewWorkFactor   = 2
)

// policyNames lists the policies of the replays, in the order of the tables.
func policyNames() []string { return append(plugins.Names(), clairvoyantName) }

// simulateCase runs a cell. The decision code resolves the names of its own policies; clairvoyant is handed to it.
func simulateCase(c *benchCase) *simulation.Simulation {
	if c.policy == clairvoyantName {
		return simulation.Run(c.params, c.params.GeneratePrograms(c.load), c.policy, clairvoyant)
	}
	return simulation.Run(c.params, c.params.GeneratePrograms(c.load), c.policy, nil)
}

func clairvoyant(remaining func(ids.Program) float64) framework.Policy {
	order := func(_ *framework.Group, c *framework.Call) float64 {
		work := remaining(c.Program.ID)
		if c.StartsNewWork() {
			work *= clairvoyantNewWorkFactor
		}
		return work
	}
	return plugins.ProgramPolicy{PolicyName: clairvoyantName, RankFunc: order, CacheOvercommit: clairvoyantCacheOvercommit, CacheAffinityDelay: clairvoyantAffinityDelayMS}
}
