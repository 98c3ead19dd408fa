package ledger_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/ledger"
)

// Guards against a program that gets more than its budget and one turn because hosts lose their accounts: the hosts
// choose the policy as the service does, by their place in the program's order.
func TestTokensStayWithinTheBudgetOverRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &simulation{
			t: t, maxTurnTokens: 300, budget: 300 * rapid.IntRange(1, 8).Draw(t, "turns"),
			hosts: map[string]*ledger.Ledger{}, attemptByRequest: map[uint64]string{}, hostByAttempt: map[string]string{},
			shareOwners: map[string]string{}, hasRecord: map[string]bool{},
		}
		names := []string{"a.1", "b.1", "c.1"}
		for _, n := range names {
			f.startHost(n)
		}
		policies := []ledger.SharePolicy{ledger.ShareAllowed, ledger.ShareIfStoreDown, ledger.GrantRequired}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			f.now += clock.Millis(rapid.IntRange(0, 5000).Draw(t, "delay"))
			i := rapid.IntRange(0, len(names)-1).Draw(t, "host")
			switch rapid.SampledFrom([]string{"reserve", "reserve", "deliver", "drop", "crash", "move"}).Draw(t, "event") {
			case "reserve":
				f.reserve(names[i], fmt.Sprintf("t%d", step), policies[i])
			case "deliver":
				if len(f.pendingWrites) > 0 {
					f.deliverWrite(0, true)
				}
			case "drop":
				if len(f.pendingWrites) > 0 {
					w := f.pendingWrites[0]
					f.pendingWrites = f.pendingWrites[1:]
					if l, ok := f.hosts[w.host]; ok {
						f.apply(w.host, l.GrantWritten(f.now, program, w.host, ledger.WriteUnknown, 0, 0))
					}
				}
			case "crash":
				f.incarnations++
				delete(f.hosts, names[i])
				names[i] = fmt.Sprintf("%c.%d", names[i][0], f.incarnations+1)
				f.startHost(names[i])
			case "move":
				to := names[(i+1)%len(names)]
				f.hosts[to].AdoptAccounts(f.now, f.hosts[names[i]].ReleaseAccounts(func(string) bool { return true }))
			}
			if f.usedTokens > f.budget+f.maxTurnTokens {
				t.Fatalf("%d tokens used of a budget of %d and a turn of %d; hosts %v", f.usedTokens, f.budget, f.maxTurnTokens, slices.Clone(names))
			}
		}
	})
}
