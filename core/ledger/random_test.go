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

// TestMain fixes the checks and the seed of rapid, so that the verdict is the same on every run.
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

// pendingWrite is a conditional write that is on its way.
type pendingWrite struct {
	host  string
	write ledger.WriteGrant
}

// simulation is several hosts that account for one program, and the store.
type simulation struct {
	t                     *rapid.T
	budget, maxTurnTokens int
	now                   clock.Millis
	hosts                 map[string]*ledger.Ledger
	lastRequestID         uint64
	attemptByRequest      map[uint64]string // attempt by ticket
	pendingWrites         []pendingWrite

	record  ledger.GrantRecord
	version uint64

	// hostByAttempt holds the host of each turn that runs.
	hostByAttempt map[string]string
	// handedOut is what callers got in all, running turns at their most.
	handedOut int
	// shareOwners holds the host that accounts for each share that was trusted to a host and that no grant covers yet.
	shareOwners map[string]string
	// knowsRecord holds the hosts that know of the record.
	knowsRecord  map[string]bool
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
				f.handedOut += f.maxTurnTokens
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

// moveShares moves the rights of one host to another.
func (f *simulation) moveShares(from, to string) {
	for first, owner := range f.shareOwners {
		if owner == from {
			f.shareOwners[first] = to
		}
	}
}

func share(budget, most int) int { return max((budget+most)/3, most) }

// checkBound is the bound on which the table of faults in docs/platform.md rests: grants leave room for one share.
func (f *simulation) checkBound() {
	s := share(f.budget, f.maxTurnTokens)
	limit := len(f.shareOwners) * s
	if f.version > 0 {
		limit += f.budget + f.maxTurnTokens - s
	}
	if f.handedOut > limit {
		f.t.Fatalf("handed out %d; %d shares of %d, record %+v, budget %d, most %d", f.handedOut, len(f.shareOwners), s, f.record, f.budget, f.maxTurnTokens)
	}
	if len(f.shareOwners) <= 1 && f.handedOut > f.budget+f.maxTurnTokens {
		f.t.Fatalf("handed out %d of %d and %d", f.handedOut, f.budget, f.maxTurnTokens)
	}
}

func (f *simulation) startHost(host string) *ledger.Ledger {
	l := ledger.New()
	records, versions := map[string]ledger.GrantRecord{}, map[string]uint64{}
	if f.version > 0 {
		records[program], versions[program] = f.record, f.version
	}
	l.RecordsListed(f.now, records, versions)
	f.knowsRecord[host] = f.version > 0
	f.hosts[host] = l
	return l
}

func (f *simulation) reserve(host, attempt string, trust ledger.SharePolicy) {
	f.lastRequestID++
	f.attemptByRequest[f.lastRequestID] = attempt
	l := f.hosts[host]
	known := l.HasAccount(program)
	if !known && !f.knowsRecord[host] && trust != ledger.GrantRequired {
		f.shareOwners[fmt.Sprintf("%s at %d", host, f.lastRequestID)] = host
	}
	f.apply(host, l.Reserve(f.now, f.lastRequestID, ledger.Turn{
		Program: program, AttemptID: attempt, Budget: f.budget, MaxTokens: f.maxTurnTokens, Retention: time.Minute,
	}, trust))
}

// deliverWrite lets a write reach the store, with or without an answer.
func (f *simulation) deliverWrite(i int, answered bool) {
	w := f.pendingWrites[i]
	f.pendingWrites = append(f.pendingWrites[:i:i], f.pendingWrites[i+1:]...)
	outcome := ledger.WriteConflict
	if w.write.Version == f.version {
		f.version++
		f.record = ledger.GrantRecord{Granted: w.write.Granted, Holder: w.host}
		outcome = ledger.WriteStored
	}
	l, alive := f.hosts[w.host]
	if !alive {
		return
	}
	if !answered {
		outcome = ledger.WriteUnknown
	} else if outcome == ledger.WriteConflict {
		l.RecordSeen(f.now, program, f.record, f.version)
		f.knowsRecord[w.host] = true
	} else {
		f.knowsRecord[w.host] = true
		// A record that only closes the program may be smaller than what its host has handed out.
		if w.write.Granted >= f.handedOut {
			maps.DeleteFunc(f.shareOwners, func(_, owner string) bool { return owner == w.host })
		}
	}
	f.apply(w.host, l.GrantWritten(f.now, program, w.host, outcome, w.write.Granted, f.version))
}

// Hosts lose their memory, writes are lost, late or refused, accounts move: what is handed out stays within the
// shares that were trusted and the grants that were recorded.
func TestHandedOutStaysWithinSharesAndGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(10, 300).Draw(t, "most")
		f := &simulation{
			t: t, maxTurnTokens: most, budget: most * rapid.IntRange(1, 30).Draw(t, "turns"),
			hosts: map[string]*ledger.Ledger{}, attemptByRequest: map[uint64]string{}, hostByAttempt: map[string]string{},
			shareOwners: map[string]string{}, knowsRecord: map[string]bool{},
		}
		names := []string{"a.1", "b.1", "c.1"}
		for _, n := range names {
			f.startHost(n)
		}
		for step := range rapid.IntRange(1, 120).Draw(t, "steps") {
			f.now += clock.Millis(rapid.IntRange(0, 400).Draw(t, "pause"))
			i := rapid.IntRange(0, len(names)-1).Draw(t, "host")
			host := names[i]
			switch rapid.SampledFrom([]string{"reserve", "reserve", "reserve", "settle", "land", "lose", "drop", "move", "crash", "tick"}).Draw(t, "event") {
			case "reserve":
				trust := rapid.SampledFrom([]ledger.SharePolicy{ledger.ShareAllowed, ledger.ShareIfStoreDown, ledger.GrantRequired}).Draw(t, "trust")
				f.reserve(host, fmt.Sprintf("t%d", step), trust)
			case "settle":
				for attempt, h := range f.hostByAttempt {
					got := rapid.IntRange(0, f.maxTurnTokens).Draw(t, "tokens")
					f.handedOut += got - f.maxTurnTokens
					delete(f.hostByAttempt, attempt)
					if l, ok := f.hosts[h]; ok {
						f.apply(h, l.Settle(f.now, ledger.Settlement{Program: program, AttemptID: attempt, DeliveredTokens: got}))
					}
					break
				}
			case "land", "lose":
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
