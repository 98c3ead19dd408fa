// Package plugins contains the scheduling policies, one file each, named after the policy. docs/decisions.md
// describes when to use each and which others were tried.
package plugins

import (
	"sort"

	"github.com/hyssopreel/hyssopreel/core/sched/framework"
)

// Default is the policy of pools that set none.
const Default = "shipped"

var constructors = map[string]func() framework.Policy{
	"baseline": func() framework.Policy { return baseline{} },
	"affinity": func() framework.Policy { return affinity{} },
	"deadline": newDeadline,
	Default:    newShipped,
	"yielding": newYielding,
}

// New returns a new instance of the named policy, and false if there is no such policy.
func New(name string) (framework.Policy, bool) {
	newPolicy, ok := constructors[name]
	if !ok {
		return nil, false
	}
	return newPolicy(), true
}

// Names returns the names of all policies, sorted.
func Names() []string {
	var names []string
	for n := range constructors {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}
