package ledger_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/founders"
	"github.com/hyssopreel/hyssopreel/core/ledger"
)

// TestMain fixes the number of checks and the seed of rapid, so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.checks": "3000", "rapid.seed": "20261204", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
		if f := flag.Lookup(name); f.Value.String() != f.DefValue { // set on the command line
			continue
		}
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}

const (
	program   = "p"
	retention = time.Minute
	// maxStoreDelay bounds how late a write takes effect and how old the answer to a read is.
	maxStoreDelay = 20 * time.Second
	// maxTurnTime is how long a simulated turn runs.
	maxTurnTime = 50 * time.Second
)

// message is something that is under way: it takes effect or arrives at a later step, or never.
type message struct {
	sentAt clock.Millis
	what   string
	// arrive applies it, and lost reports that it never will be. One of them is called, once.
	arrive func(answered bool)
	lost   func()
}

// turn is a running turn.
type turn struct {
	attempt string
	host    *host
	endsBy  clock.Millis
}

// host is one incarnation of a host.
type host struct {
	name, incarnation string
	ledger            *ledger.Ledger
	founders          *founders.State
	isDown            bool
	// isCut is set while the store does not answer this host.
	isCut bool
}

// simulation has several hosts that account for one program, and the store.
type simulation struct {
	t                     *rapid.T
	budget, maxTurnTokens int
	now                   clock.Millis
	hosts                 []*host
	home                  int // the index of the host that the program uses
	incarnations          int

	record   ledger.GrantRecord
	version  uint64 // of the record; 0 if there is none
	revision uint64
	object   founders.Object
	// objectVersion is that of the object of generations.
	objectVersion uint64

	messages      []message
	lastRequestID uint64
	running       []turn
	// delivered is the delivered tokens of ended turns. lastUse is when the program was last active.
	delivered int
	lastUse   clock.Millis
	events    []string
}

func (f *simulation) log(format string, args ...any) {
	f.events = append(f.events, fmt.Sprintf("%7.1f s ", float64(f.now)/1000)+fmt.Sprintf(format, args...))
}

// oneOf draws one of the values with equal probability and reports whether it is 1.
func (f *simulation) oneOf(label string, values ...int) bool {
	return rapid.SampledFrom(values).Draw(f.t, label) == 1
}

func (f *simulation) send(what string, arrive func(answered bool)) {
	f.messages = append(f.messages, message{sentAt: f.now, what: what, arrive: arrive, lost: func() {}})
}

// startHost starts a new incarnation of a host, which lists the records first.
func (f *simulation) startHost(i int) {
	f.incarnations++
	h := &host{name: f.hosts[i].name, incarnation: fmt.Sprint(f.incarnations)}
	h.founders = founders.New(h.name, h.incarnation)
	h.ledger = ledger.New(h.founders)
	f.hosts[i] = h
	f.log("%s starts as %s", h.name, h.incarnation)
}

// attempts maps request IDs to the attempts.
func (f *simulation) apply(h *host, effects []ledger.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case ledger.ReserveReply:
			f.log("%s: request %d is %v", h.name, e.RequestID, e.Decision)
			switch e.Decision {
			case ledger.Allowed:
				f.running = append(f.running, turn{attempt: fmt.Sprint(e.RequestID), host: h, endsBy: f.now.Add(maxTurnTime)})
				f.lastUse = f.now
			case ledger.BudgetExhausted:
				if f.delivered < f.budget {
					f.fail("refused permanently after %d of %d tokens", f.delivered, f.budget)
				}
			}
		case ledger.WriteGrant:
			f.writeGrant(h, e)
		case ledger.RecallAccount:
			for _, other := range f.hosts {
				if other.name == e.Holder && other != h && rapid.Bool().Draw(f.t, "reachable") {
					f.moveAccounts(other, h)
				}
			}
			f.apply(h, h.ledger.AccountRecalled(f.now, e.Program))
		case ledger.DeleteRecord:
			f.deleteRecord(h, e)
		}
	}
}

func (f *simulation) writeGrant(h *host, w ledger.WriteGrant) {
	f.log("%s writes %+v", h.name, w)
	if h.isCut {
		f.apply(h, h.ledger.GrantWritten(f.now, w, h.name, ledger.WriteUnknown, 0))
		return
	}
	f.send("grant of "+h.name, func(answered bool) {
		result := ledger.WriteConflict
		if w.Version == f.version {
			f.revision++
			f.record, f.version = w.Record(h.name), f.revision
			result = ledger.WriteStored
		}
		f.log("grant %+v of %s: result %d, answered %v", w, h.name, result, answered)
		if h.isDown {
			return
		}
		switch {
		case !answered:
			result = ledger.WriteUnknown
		case result == ledger.WriteConflict && f.version == 0:
			h.ledger.RecordDeleted(program)
		case result == ledger.WriteConflict:
			h.ledger.RecordSeen(f.now, program, f.record, f.version)
		}
		f.apply(h, h.ledger.GrantWritten(f.now, w, h.name, result, f.version))
	})
	f.messages[len(f.messages)-1].lost = func() {
		if !h.isDown {
			f.apply(h, h.ledger.GrantWritten(f.now, w, h.name, ledger.WriteUnknown, 0))
		}
	}
	if f.oneOf("write at once", 1, 1, 1, 0) {
		f.arrive(len(f.messages)-1, true)
	}
}

func (f *simulation) deleteRecord(h *host, d ledger.DeleteRecord) {
	f.send("deletion by "+h.name, func(answered bool) {
		isDeleted := d.Version == f.version || f.version == 0
		if isDeleted {
			f.revision++
			f.record, f.version = ledger.GrantRecord{}, 0
		}
		f.log("deletion of version %d by %s: %v", d.Version, h.name, isDeleted)
		switch {
		case h.isDown:
		case answered && isDeleted:
			h.ledger.RecordDeleted(program)
		default:
			h.ledger.DeleteFailed(program)
		}
	})
}

// moveAccounts moves the accounts of one host to another; they may be lost on the way.
func (f *simulation) moveAccounts(from, to *host) {
	moved := from.ledger.ReleaseAccounts(f.now, func(string) bool { return true })
	if len(moved) == 0 {
		return
	}
	f.log("accounts move from %s to %s: %+v", from.name, to.name, moved)
	if f.oneOf("lost", 1, 0, 0, 0) {
		f.log("and are lost")
		return
	}
	f.send("accounts", func(bool) {
		if !to.isDown {
			to.ledger.AdoptAccounts(f.now, moved)
		}
	})
	f.maybeArrive()
}

// maybeArrive lets the last message arrive at once, or leaves it under way.
func (f *simulation) maybeArrive() {
	if len(f.messages) > 0 && rapid.Bool().Draw(f.t, "at once") {
		f.arrive(len(f.messages)-1, true)
	}
}

func (f *simulation) arrive(i int, answered bool) {
	m := f.messages[i]
	f.messages = slices.Delete(f.messages, i, i+1)
	m.arrive(answered)
}

// listRecords lists the records now; the answer arrives later.
func (f *simulation) listRecords(h *host) {
	if h.isCut {
		return
	}
	startedAt, revision := f.now, f.revision
	records, versions := map[string]ledger.GrantRecord{}, map[string]uint64{}
	if f.version > 0 {
		records[program], versions[program] = f.record, f.version
	}
	f.send("list for "+h.name, func(bool) {
		if !h.isDown {
			f.log("%s lists the records of %d: %+v", h.name, startedAt, records)
			h.ledger.RecordsListed(f.now, startedAt, revision, records, versions)
		}
	})
}

// readFounders reads the object of generations now; the answer arrives later.
func (f *simulation) readFounders(h *host) {
	if h.isCut {
		return
	}
	startedAt, object, version := f.now, f.object, f.objectVersion
	f.send("object for "+h.name, func(bool) {
		if !h.isDown && version > 0 {
			h.founders.Read(startedAt, f.now, object, version)
		}
	})
}

// confirm lets one host learn from another that a generation is the newest.
func (f *simulation) confirm(from, to *host) {
	newestAt, ok := from.founders.NewestAt()
	if !ok {
		return
	}
	generation, age, requestedAt := from.founders.Generation(), f.now-newestAt, f.now
	f.send("confirmation", func(bool) {
		if !to.isDown {
			to.founders.Confirm(generation, requestedAt-age)
		}
	})
}

// propose lets a host write a new generation of any of the hosts.
func (f *simulation) propose(h *host) {
	var candidates []founders.Candidate
	for _, c := range f.hosts {
		if f.oneOf("candidate", 1, 1, 0) {
			candidates = append(candidates, founders.Candidate{Name: c.name, Incarnation: c.incarnation, Settled: true})
		}
	}
	o, expected, ok := h.founders.Propose(f.now, candidates)
	if !ok || h.isCut {
		return
	}
	startedAt := f.now
	f.send("generation of "+h.name, func(answered bool) {
		if expected != f.objectVersion {
			return
		}
		f.revision++
		f.object, f.objectVersion = o, f.revision
		f.log("%s wrote %+v", h.name, o)
		if answered && !h.isDown {
			h.founders.Read(startedAt, f.now, o, f.objectVersion)
		}
	})
}

// reserve requests a turn from the host that the program uses now.
func (f *simulation) reserve() {
	h := f.hosts[f.home]
	f.lastRequestID++
	f.log("%s: request %d", h.name, f.lastRequestID)
	f.apply(h, h.ledger.Reserve(f.now, f.lastRequestID, ledger.Turn{
		Program: program, AttemptID: fmt.Sprint(f.lastRequestID), Budget: f.budget, MaxTokens: f.maxTurnTokens, Retention: retention,
	}))
}

func (f *simulation) settle(i int) {
	t := f.running[i]
	f.running = slices.Delete(f.running, i, i+1)
	tokens := f.maxTurnTokens
	if f.oneOf("short", 1, 1, 1, 0) { // so that programs with small budgets last
		tokens = rapid.IntRange(0, f.maxTurnTokens/10).Draw(f.t, "tokens")
	}
	f.delivered += tokens
	f.lastUse = f.now
	f.log("turn %s of %s delivers %d", t.attempt, t.host.name, tokens)
	if t.host.isDown || f.oneOf("settlement lost", 1, 0, 0, 0, 0, 0, 0, 0) {
		return
	}
	f.apply(t.host, t.host.ledger.Settle(f.now, ledger.Settlement{Program: program, AttemptID: t.attempt, DeliveredTokens: tokens}))
}

func (f *simulation) fail(format string, args ...any) {
	for _, e := range f.events {
		f.t.Log(e)
	}
	f.t.Fatalf(format, args...)
}

// checkBound checks the promise: the delivered tokens, and what running turns may deliver, are at most the budget and one
// turn.
func (f *simulation) checkBound() {
	if used := f.delivered + len(f.running)*f.maxTurnTokens; used > f.budget+f.maxTurnTokens {
		f.fail("%d tokens used of a budget of %d and a turn of %d", used, f.budget, f.maxTurnTokens)
	}
}

// refreshInterval is how often hosts read the generations and expire accounts while time passes.
const refreshInterval = 5 * time.Second

// advance lets time pass: hosts that are not cut off from the store read the generations, and list the records when that is
// due; turns end; messages that are too late arrive or are lost. The program stays in use.
func (f *simulation) advance(d time.Duration) {
	for d > 0 {
		step := min(d, refreshInterval)
		d -= step
		if len(f.running) == 0 && f.now.Add(step) >= f.lastUse.Add(retention) {
			f.reserve() // or the program would end
			if len(f.running) == 0 {
				return
			}
			f.settle(0)
		}
		f.now = f.now.Add(step)
		for i := 0; i < len(f.running); {
			if f.running[i].endsBy <= f.now {
				f.settle(i)
			} else {
				i++
			}
		}
		for i := 0; i < len(f.messages); {
			if f.now.Sub(f.messages[i].sentAt) > maxStoreDelay {
				f.arrive(i, false)
			} else {
				i++
			}
		}
		if step < refreshInterval {
			continue
		}
		for _, h := range f.hosts {
			f.apply(h, h.ledger.Tick(f.now))
			if h.isCut {
				continue
			}
			f.readFounders(h)
			f.arrive(len(f.messages)-1, true)
			if h.founders.NeedsList(f.now, retention, h.ledger.ListedAt()) {
				f.listRecords(h)
				f.arrive(len(f.messages)-1, true)
			}
		}
	}
}

// Guards against a program that gets more than its budget and one turn, or is refused permanently before its budget is
// spent, while hosts are killed and come back, generations change, accounts move or are lost, the store is unavailable,
// its writes are late and their answers lost, and reads and confirmations arrive late.
func TestTokensStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxTokens := rapid.IntRange(10, 300).Draw(t, "maxTokens")
		f := &simulation{t: t, maxTurnTokens: maxTokens, budget: maxTokens * rapid.IntRange(1, 12).Draw(t, "turns")}
		for _, name := range []string{"a", "b", "c"} {
			f.hosts = append(f.hosts, &host{name: name})
			f.startHost(len(f.hosts) - 1)
			f.hosts[len(f.hosts)-1].ledger.RecordsListed(f.now, f.now, 0, nil, nil)
		}
		// Most histories begin with a generation of all hosts, which all have read.
		if f.oneOf("begin", 1, 1, 1, 0) {
			var all []founders.Candidate
			for _, h := range f.hosts {
				all = append(all, founders.Candidate{Name: h.name, Incarnation: h.incarnation, Settled: true})
			}
			f.object, _, _ = f.hosts[0].founders.Propose(f.now, all)
			f.revision++
			f.objectVersion = f.revision
			for _, h := range f.hosts {
				h.founders.Read(f.now, f.now, f.object, f.objectVersion)
			}
		}
		events := []string{
			"reserve", "reserve", "reserve", "reserve", "settle", "settle", "arrive", "arrive", "arrive", "lose answer", "lose", "read", "read", "read",
			"confirm", "propose", "propose", "list", "list", "move", "kill", "wait", "wait", "wait", "cut", "heal", "heal", "elsewhere", "elsewhere",
		}
		for range rapid.IntRange(40, 160).Draw(t, "steps") {
			f.advance(time.Duration(rapid.IntRange(0, 500).Draw(t, "delay")) * time.Millisecond)
			i := rapid.IntRange(0, len(f.hosts)-1).Draw(t, "host")
			h, other := f.hosts[i], f.hosts[(i+1)%len(f.hosts)]
			switch event := rapid.SampledFrom(events).Draw(t, "event"); event {
			case "reserve":
				f.reserve()
			case "elsewhere":
				f.home = i
			case "settle":
				if len(f.running) > 0 {
					f.settle(rapid.IntRange(0, len(f.running)-1).Draw(t, "turn"))
				}
			case "arrive", "lose answer":
				if len(f.messages) > 0 {
					f.arrive(rapid.IntRange(0, len(f.messages)-1).Draw(t, "message"), event == "arrive")
				}
			case "lose":
				if len(f.messages) > 0 {
					m := f.messages[0]
					f.messages = f.messages[1:]
					m.lost()
				}
			case "read":
				f.readFounders(h)
				f.maybeArrive()
			case "confirm":
				f.confirm(h, other)
			case "propose":
				f.propose(h)
			case "list":
				f.listRecords(h)
				f.maybeArrive()
			case "move":
				f.moveAccounts(h, other)
			case "kill":
				if f.oneOf("kill", 1, 0) {
					h.isDown = true
					f.startHost(i)
					f.listRecords(f.hosts[i])
				}
			case "wait":
				f.advance(rapid.SampledFrom([]time.Duration{time.Second, 5 * time.Second, 20 * time.Second, 55 * time.Second, 170 * time.Second}).Draw(t, "wait"))
			case "cut":
				h.isCut = true
			case "heal":
				for _, h := range f.hosts {
					h.isCut = false
				}
			}
			f.checkBound()
		}
	})
}
