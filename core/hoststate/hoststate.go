// Package hoststate composes the reducer of a host from its subsystems. The daemon and the replay of an event log
// start from the same state.
package hoststate

import (
	"github.com/hyssopreel/hyssopreel/core"
	"github.com/hyssopreel/hyssopreel/core/configstate"
	"github.com/hyssopreel/hyssopreel/core/membership"
	"github.com/hyssopreel/hyssopreel/core/orders"
	"github.com/hyssopreel/hyssopreel/core/program"
	"github.com/hyssopreel/hyssopreel/core/sched"
)

// NewState returns the state of a host that has just started.
func NewState() *core.State {
	return core.NewState(map[string]core.Subsystem{
		"program":       program.New(),
		"sched":         sched.NewState(),
		"membership":    membership.New(),
		"configuration": configstate.NewState(),
		"orders":        orders.NewState(),
	})
}
