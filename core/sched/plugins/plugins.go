// Package plugins holds the scheduling policies, one file each, named for the policy.
package plugins

import (
	"sort"

	"github.com/hyssopreel/hyssopreel/core/sched/framework"
)

// Default is the policy of pools that name none.
const Default = "affinity"

var constructors = map[string]func() framework.Policy{
	"baseline": func() framework.Policy { return baseline{} },
	"affinity": func() framework.Policy { return affinity{} },
}

// New returns a policy by name; false if there is no such policy.
func New(name string) (framework.Policy, bool) {
	c, ok := constructors[name]
	if !ok {
		return nil, false
	}
	return c(), true
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
