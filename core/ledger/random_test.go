package ledger_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/ledger"
)

// TestMain fixes the number of checks and the seed of rapid, so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.checks": "3000", "rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}

const program = "p"

// pendingWrite is a conditional write that has not reached the store.
type pendingWrite struct {
	host  string
	write ledger.WriteGrant
}

// simulation has several hosts that account for one program, and the store.
type simulation struct {
	t                     *rapid.T
	budget, maxTurnTokens int
	now                   clock.Millis
	hosts                 map[string]*ledger.Ledger
	lastRequestID         uint64
	attemptByRequest      map[uint64]string // by request ID
	pendingWrites         []pendingWrite

	record  ledger.GrantRecord
	version uint64

	// hostByAttempt has the host of each running turn.
	hostByAttempt map[string]string
	// usedTokens is the delivered tokens plus the max tokens of running turns, on all hosts.
	usedTokens int
	// shareOwners has the host that accounts for each share that a host may use and that no grant covers yet.
	shareOwners map[string]string
	// hasRecord has the hosts that have received the record.
	hasRecord    map[string]bool
	incarnations int
}

func (f *simulation) apply(host string, effects []ledger.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case ledger.ReserveReply:
			attempt := f.attemptByRequest[e.RequestID]
			delete(f.attemptByRequest, e.RequestID)
			if e.Decision == ledger.Allowed {
				f.hostByAttempt[attempt] = host
				f.usedTokens += f.maxTurnTokens
			}
		case ledger.WriteGrant:
			f.pendingWrites = append(f.pendingWrites, pendingWrite{host, e})
		case ledger.RecallAccount:
			if l, ok := f.hosts[e.Holder]; ok && e.Holder != host {
				f.hosts[host].AdoptAccounts(f.now, l.ReleaseAccounts(func(string) bool { return true }))
				f.moveShares(e.Holder, host)
			}
			f.apply(host, f.hosts[host].AccountRecalled(f.now, e.Program))
		}
	}
}

// moveShares moves the shares of one host to another, which adopted its accounts.
func (f *simulation) moveShares(from, to string) {
	for share, owner := range f.shareOwners {
		if owner == from {
			f.shareOwners[share] = to
		}
	}
}

func share(budget, maxTurnTokens int) int { return max((budget+maxTurnTokens)/3, maxTurnTokens) }

// checkBound checks that the used tokens stay within the shares without a grant plus, once there is a record, the
// largest grant; with at most one such share they stay within the budget and one turn. The table of faults in
// docs/platform.md relies on this bound.
func (f *simulation) checkBound() {
	shareTokens := share(f.budget, f.maxTurnTokens)
	limit := len(f.shareOwners) * shareTokens
	if f.version > 0 {
		limit += f.budget + f.maxTurnTokens - shareTokens
	}
	if f.usedTokens > limit {
		f.t.Fatalf("%d tokens used; %d shares of %d, record %+v, budget %d, largest turn %d", f.usedTokens, len(f.shareOwners), shareTokens, f.record, f.budget, f.maxTurnTokens)
	}
	if len(f.shareOwners) <= 1 && f.usedTokens > f.budget+f.maxTurnTokens {
		f.t.Fatalf("%d tokens used of a budget of %d and a turn of %d", f.usedTokens, f.budget, f.maxTurnTokens)
	}
}

func (f *simulation) startHost(host string) *ledger.Ledger {
	l := ledger.New()
	records, versions := map[string]ledger.GrantRecord{}, map[string]uint64{}
	if f.version > 0 {
		records[program], versions[program] = f.record, f.version
	}
	l.RecordsListed(f.now, records, versions)
	f.hasRecord[host] = f.version > 0
	f.hosts[host] = l
	return l
}

func (f *simulation) reserve(host, attempt string, policy ledger.SharePolicy) {
	f.lastRequestID++
	f.attemptByRequest[f.lastRequestID] = attempt
	l := f.hosts[host]
	hasAccount := l.HasAccount(program)
	if !hasAccount && !f.hasRecord[host] && policy != ledger.GrantRequired {
		f.shareOwners[fmt.Sprintf("%s at %d", host, f.lastRequestID)] = host
	}
	f.apply(host, l.Reserve(f.now, f.lastRequestID, ledger.Turn{
		Program: program, AttemptID: attempt, Budget: f.budget, MaxTokens: f.maxTurnTokens, Retention: time.Minute,
	}, policy))
}

// deliverWrite applies a pending write to the store; the host receives the outcome if answered is set.
func (f *simulation) deliverWrite(i int, answered bool) {
	w := f.pendingWrites[i]
	f.pendingWrites = append(f.pendingWrites[:i:i], f.pendingWrites[i+1:]...)
	outcome := ledger.WriteConflict
	if w.write.Version == f.version {
		f.version++
		f.record = ledger.GrantRecord{Granted: w.write.Granted, Holder: w.host}
		outcome = ledger.WriteStored
	}
	l, running := f.hosts[w.host]
	if !running {
		return
	}
	if !answered {
		outcome = ledger.WriteUnknown
	} else if outcome == ledger.WriteConflict {
		l.RecordSeen(f.now, program, f.record, f.version)
		f.hasRecord[w.host] = true
	} else {
		f.hasRecord[w.host] = true
		// A record that marks the program as exhausted may grant less than its host has used.
		if w.write.Granted >= f.usedTokens {
			maps.DeleteFunc(f.shareOwners, func(_, owner string) bool { return owner == w.host })
		}
	}
	f.apply(w.host, l.GrantWritten(f.now, program, w.host, outcome, w.write.Granted, f.version))
}

// Guards against tokens used beyond the shares and the recorded grants when hosts restart without their accounts,
// writes are lost, delayed or refused, and accounts move between hosts.
func TestHandedOutStaysWithinSharesAndGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxTokens := rapid.IntRange(10, 300).Draw(t, "maxTokens")
		f := &simulation{
			t: t, maxTurnTokens: maxTokens, budget: maxTokens * rapid.IntRange(1, 30).Draw(t, "turns"),
			hosts: map[string]*ledger.Ledger{}, attemptByRequest: map[uint64]string{}, hostByAttempt: map[string]string{},
			shareOwners: map[string]string{}, hasRecord: map[string]bool{},
		}
		names := []string{"a.1", "b.1", "c.1"}
		for _, n := range names {
			f.startHost(n)
		}
		for step := range rapid.IntRange(1, 120).Draw(t, "steps") {
			f.now += clock.Millis(rapid.IntRange(0, 400).Draw(t, "delay"))
			i := rapid.IntRange(0, len(names)-1).Draw(t, "host")
			host := names[i]
			switch rapid.SampledFrom([]string{"reserve", "reserve", "reserve", "settle", "deliver", "lose", "drop", "move", "crash", "tick"}).Draw(t, "event") {
			case "reserve":
				policy := rapid.SampledFrom([]ledger.SharePolicy{ledger.ShareAllowed, ledger.ShareIfStoreDown, ledger.GrantRequired}).Draw(t, "policy")
				f.reserve(host, fmt.Sprintf("t%d", step), policy)
			case "settle":
				for attempt, h := range f.hostByAttempt {
					delivered := rapid.IntRange(0, f.maxTurnTokens).Draw(t, "tokens")
					f.usedTokens += delivered - f.maxTurnTokens
					delete(f.hostByAttempt, attempt)
					if l, ok := f.hosts[h]; ok {
						f.apply(h, l.Settle(f.now, ledger.Settlement{Program: program, AttemptID: attempt, DeliveredTokens: delivered}))
					}
					break
				}
			case "deliver", "lose": // the same event, so that more writes are delivered than dropped
				if len(f.pendingWrites) > 0 {
					f.deliverWrite(rapid.IntRange(0, len(f.pendingWrites)-1).Draw(t, "write"), rapid.Bool().Draw(t, "answered"))
				}
			case "drop":
				if len(f.pendingWrites) > 0 {
					w := f.pendingWrites[0]
					f.pendingWrites = f.pendingWrites[1:]
					if l, ok := f.hosts[w.host]; ok {
						f.apply(w.host, l.GrantWritten(f.now, program, w.host, ledger.WriteUnknown, 0, 0))
					}
				}
			case "move":
				to := names[(i+1)%len(names)]
				moved := f.hosts[host].ReleaseAccounts(func(string) bool { return true })
				if len(moved) > 0 {
					f.hosts[to].AdoptAccounts(f.now, moved)
					f.moveShares(host, to)
				}
			case "crash":
				f.incarnations++
				delete(f.hosts, host)
				names[i] = fmt.Sprintf("%c.%d", host[0], f.incarnations+1)
				f.startHost(names[i])
			case "tick":
				f.apply(host, f.hosts[host].Tick(f.now, func(string) bool { return true }))
			}
			f.checkBound()
		}
	})
}
