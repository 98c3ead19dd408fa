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

// storeWrite is a conditional write that is on its way.
type storeWrite struct {
	host string
	w    ledger.Write
}

// fleet is several hosts that account for one program, and the store.
type fleet struct {
	t            *rapid.T
	budget, most int
	at           clock.Millis
	hosts        map[string]*ledger.Ledger
	tickets      uint64
	asked        map[uint64]string // attempt by ticket
	writes       []storeWrite

	record  ledger.Record
	version uint64

	// running holds the host of each turn that runs.
	running map[string]string
	// handed is what callers got in all, running turns at their most.
	handed int
	// shares holds the host that accounts for each share that was trusted to a host and that no grant covers yet.
	shares map[string]string
	// informed holds the hosts that know of the record.
	informed     map[string]bool
	incarnations int
}

func (f *fleet) apply(host string, effects []ledger.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case ledger.Answer:
			attempt := f.asked[e.Ticket]
			delete(f.asked, e.Ticket)
			if e.Verdict == ledger.Allowed {
				f.running[attempt] = host
				f.handed += f.most
			}
		case ledger.Write:
			f.writes = append(f.writes, storeWrite{host, e})
		case ledger.Recall:
			if l, ok := f.hosts[e.Holder]; ok && e.Holder != host {
				f.hosts[host].Adopt(f.at, l.Release(func(string) bool { return true }))
				f.adopted(e.Holder, host)
			}
			f.apply(host, f.hosts[host].Recalled(f.at, e.Program))
		}
	}
}

// adopted moves the rights of one host to another.
func (f *fleet) adopted(from, to string) {
	for first, owner := range f.shares {
		if owner == from {
			f.shares[first] = to
		}
	}
}

func share(budget, most int) int { return max((budget+most)/3, most) }

// check is the bound on which the table of faults in docs/platform.md rests: grants leave room for one share.
func (f *fleet) check() {
	s := share(f.budget, f.most)
	limit := len(f.shares) * s
	if f.version > 0 {
		limit += f.budget + f.most - s
	}
	if f.handed > limit {
		f.t.Fatalf("handed out %d; %d shares of %d, record %+v, budget %d, most %d", f.handed, len(f.shares), s, f.record, f.budget, f.most)
	}
	if len(f.shares) <= 1 && f.handed > f.budget+f.most {
		f.t.Fatalf("handed out %d of %d and %d", f.handed, f.budget, f.most)
	}
}

func (f *fleet) start(host string) *ledger.Ledger {
	l := ledger.New()
	records, versions := map[string]ledger.Record{}, map[string]uint64{}
	if f.version > 0 {
		records[program], versions[program] = f.record, f.version
	}
	l.Listed(f.at, records, versions)
	f.informed[host] = f.version > 0
	f.hosts[host] = l
	return l
}

func (f *fleet) reserve(host, attempt string, trust ledger.Trust) {
	f.tickets++
	f.asked[f.tickets] = attempt
	l := f.hosts[host]
	known := l.Knows(program)
	if !known && !f.informed[host] && trust != ledger.Foreign {
		f.shares[fmt.Sprintf("%s at %d", host, f.tickets)] = host
	}
	f.apply(host, l.Reserve(f.at, f.tickets, ledger.Turn{
		Program: program, Attempt: attempt, Budget: f.budget, Most: f.most, Retention: time.Minute,
	}, trust))
}

// land lets a write reach the store, with or without an answer.
func (f *fleet) land(i int, answered bool) {
	w := f.writes[i]
	f.writes = append(f.writes[:i:i], f.writes[i+1:]...)
	outcome := ledger.Conflict
	if w.w.Version == f.version {
		f.version++
		f.record = ledger.Record{Granted: w.w.Granted, Holder: w.host}
		outcome = ledger.Stored
	}
	l, alive := f.hosts[w.host]
	if !alive {
		return
	}
	if !answered {
		outcome = ledger.Failed
	} else if outcome == ledger.Conflict {
		l.Seen(f.at, program, f.record, f.version)
		f.informed[w.host] = true
	} else {
		f.informed[w.host] = true
		// A record that only closes the program may be smaller than what its host has handed out.
		if w.w.Granted >= f.handed {
			maps.DeleteFunc(f.shares, func(_, owner string) bool { return owner == w.host })
		}
	}
	f.apply(w.host, l.Written(f.at, program, w.host, outcome, w.w.Granted, f.version))
}

// Hosts lose their memory, writes are lost, late or refused, accounts move: what is handed out stays within the
// shares that were trusted and the grants that were recorded.
func TestHandedOutStaysWithinSharesAndGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(10, 300).Draw(t, "most")
		f := &fleet{
			t: t, most: most, budget: most * rapid.IntRange(1, 30).Draw(t, "turns"),
			hosts: map[string]*ledger.Ledger{}, asked: map[uint64]string{}, running: map[string]string{},
			shares: map[string]string{}, informed: map[string]bool{},
		}
		names := []string{"a.1", "b.1", "c.1"}
		for _, n := range names {
			f.start(n)
		}
		for step := range rapid.IntRange(1, 120).Draw(t, "steps") {
			f.at += clock.Millis(rapid.IntRange(0, 400).Draw(t, "pause"))
			i := rapid.IntRange(0, len(names)-1).Draw(t, "host")
			host := names[i]
			switch rapid.SampledFrom([]string{"reserve", "reserve", "reserve", "settle", "land", "lose", "drop", "move", "crash", "tick"}).Draw(t, "event") {
			case "reserve":
				trust := rapid.SampledFrom([]ledger.Trust{ledger.Known, ledger.Doubtful, ledger.Foreign}).Draw(t, "trust")
				f.reserve(host, fmt.Sprintf("t%d", step), trust)
			case "settle":
				for attempt, h := range f.running {
					got := rapid.IntRange(0, f.most).Draw(t, "tokens")
					f.handed += got - f.most
					delete(f.running, attempt)
					if l, ok := f.hosts[h]; ok {
						f.apply(h, l.Settle(f.at, ledger.Settlement{Program: program, Attempt: attempt, Tokens: got}))
					}
					break
				}
			case "land", "lose":
				if len(f.writes) > 0 {
					f.land(rapid.IntRange(0, len(f.writes)-1).Draw(t, "write"), rapid.Bool().Draw(t, "answered"))
				}
			case "drop":
				if len(f.writes) > 0 {
					w := f.writes[0]
					f.writes = f.writes[1:]
					if l, ok := f.hosts[w.host]; ok {
						f.apply(w.host, l.Written(f.at, program, w.host, ledger.Failed, 0, 0))
					}
				}
			case "move":
				to := names[(i+1)%len(names)]
				moved := f.hosts[host].Release(func(string) bool { return true })
				if len(moved) > 0 {
					f.hosts[to].Adopt(f.at, moved)
					f.adopted(host, to)
				}
			case "crash":
				f.incarnations++
				delete(f.hosts, host)
				names[i] = fmt.Sprintf("%c.%d", host[0], f.incarnations+1)
				f.start(names[i])
			case "tick":
				f.apply(host, f.hosts[host].Tick(f.at, func(string) bool { return true }))
			}
			f.check()
		}
	})
}
