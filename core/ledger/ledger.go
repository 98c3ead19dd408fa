// Package ledger accounts for the tokens that programs generate. It is a reducer: events go in, and effects come
// out as data.
//
// Each host accounts for the programs that hash to it. What it hands out without asking the store is bounded by the
// share of a program, so that hosts that lost their memory, or that do not know of each other, stay within the
// budget and one turn together: the share is a third of both. More than its share is handed out only under a grant
// recorded in the store by a conditional update, and grants leave room for the share of one other host. A host that
// may lack memory of the program takes a grant at once and uses its share only while the store is away. A program
// that is refused for good is recorded too, so that it stays refused when it returns to a host without memory.
package ledger

import (
	"maps"
	"slices"
	"time"

	"github.com/hyssopreel/hyssopreel/common/clock"
)

const (
	// shares is the number of hosts that may each hand out a share of a program without a record.
	shares = 3
	// grantTurns is the number of turns that a grant covers beyond what is needed, so that few programs need two and
	// another host still finds room.
	grantTurns = 1
	// writeRetry is the pause before a record is written again that could not be written.
	writeRetry = clock.Millis(500)
	// forgetSlack is added to a program's retention before its account is dropped.
	forgetSlack = clock.Millis(10_000)
)

// Record is what the store knows of a program's budget.
type Record struct {
	// Granted is the number of tokens that hosts may have handed out under grants.
	Granted int `json:"granted"`
	// Holder is the host that was granted last.
	Holder string `json:"holder"`
	// Tag is unique to the write.
	Tag string `json:"tag"`
}

// Turn is one turn of a program that wants to run.
type Turn struct {
	Program string
	Attempt string
	// Budget is the program's budget in tokens.
	Budget int
	// Most is the most tokens that the turn generates.
	Most      int
	Retention time.Duration
	// Session is the line of turns within the program.
	Session string
}

// Place is where the prompt of a turn was read last.
type Place struct {
	Server string
	// Tokens is the size of the prompt and of what was generated from it.
	Tokens int
}

// Trust says what a host may assume about a program that it has no account of.
type Trust int

const (
	// Known is for programs that this host would know if they had begun before: they may use its share.
	Known Trust = iota
	// Doubtful programs need a grant; while the store is away they may use the share.
	Doubtful
	// Foreign programs need a grant.
	Foreign
)

// Verdict is the answer to a turn.
type Verdict int

const (
	// Allowed means that the turn may run.
	Allowed Verdict = iota
	// Spent means that the budget does not hold the turn, now or later.
	Spent
	// Unavailable means that the turn needs a grant and that the store does not give one now.
	Unavailable
	// NotReady means that this host has not read the records yet.
	NotReady
)

// String returns the name of the verdict in logs.
func (v Verdict) String() string {
	return [...]string{"allowed", "spent", "unavailable", "not ready"}[v]
}

// Outcome is what became of a Write.
type Outcome int

const (
	// Stored means that the store holds exactly what was asked for.
	Stored Outcome = iota
	// Conflict means that another host wrote first. Its record was reported with Seen.
	Conflict
	// Failed means that the store does not answer; the write may have taken effect.
	Failed
)

// Effect is something that the host must do.
type Effect interface{ effect() }

// Answer answers the turn that was asked for with Ticket.
type Answer struct {
	Ticket  uint64
	Verdict Verdict
	// Place is where the session ran last, or the program if the session is new; empty if neither ran.
	Place Place
}

// Write asks for a conditional write of a program's record; its outcome comes back as Written. Version 0 creates
// the record.
type Write struct {
	Program string
	Granted int
	Version uint64
}

// Recall asks the holder of a grant for its account of a program; the outcome comes back as Recalled.
type Recall struct {
	Program string
	Holder  string
}

// Remove asks for the deletion of a record that has outlived its program.
type Remove struct {
	Program string
	Version uint64
}

func (Answer) effect() {}
func (Write) effect()  {}
func (Recall) effect() {}
func (Remove) effect() {}

type waiting struct {
	ticket uint64
	turn   Turn
}

// account is what this host knows of one program.
type account struct {
	budget, most int
	// spent is what was handed to callers under this host's account.
	spent int
	// held is the most that running turns generate, by attempt.
	held map[string]int
	// limit is what this host may hand out: its share, or what was granted to it.
	limit int
	// granted is the part of the record's grants that is this host's.
	granted int
	// presumed is what other hosts may have handed out without a record, beside the one share for which grants leave
	// room.
	presumed int

	// places holds where each session ran last, and under "" where the program did.
	places map[string]Place

	writing bool
	// recalling is set while the holder of a grant is asked; askedFor is the record's version at that time.
	recalling bool
	askedFor  uint64
	// fallback is set while the host may still take its share because the store is away.
	fallback bool
	// closed is set once the program was refused for good; closing until that is recorded.
	closed, closing bool
	retryAt         clock.Millis
	waiting         []waiting
	lastUse         clock.Millis
	retention       clock.Millis
}

type record struct {
	Record
	version uint64
	seen    clock.Millis
}

// Ledger is the state of the reducer. It is not safe for concurrent use.
type Ledger struct {
	accounts map[string]*account
	records  map[string]record
	ready    bool
	// presumeUntil is the end of the time in which programs may have begun before this host started, while the store
	// was away.
	presumeUntil clock.Millis
}

// PresumeShares makes the ledger assume, until then, that two other hosts may have used their shares of a program
// that has no record: this host lost its memory while the store was away, and the next in rank served in its place.
func (l *Ledger) PresumeShares(until clock.Millis) { l.presumeUntil = until }

// New returns a ledger that is not ready: it refuses turns until the records were listed.
func New() *Ledger {
	return &Ledger{accounts: map[string]*account{}, records: map[string]record{}}
}

// share returns what one host may hand out without a record.
func share(budget, most int) int { return max((budget+most)/shares, most) }

// cap returns the most that records may grant: the budget and one turn, less the share of one other host.
func (a *account) cap() int { return a.budget + a.most - share(a.budget, a.most) }

func (a *account) heldTokens() int {
	n := 0
	for _, t := range a.held {
		n += t
	}
	return n
}

// Reserve asks whether a turn may run. trust applies if this host has no account of the program.
func (l *Ledger) Reserve(at clock.Millis, ticket uint64, t Turn, trust Trust) []Effect {
	a, ok := l.accounts[t.Program]
	if !ok {
		if !l.ready {
			return []Effect{Answer{Ticket: ticket, Verdict: NotReady}}
		}
		a = l.open(at, t, trust)
	}
	a.lastUse = at
	a.most = max(a.most, t.Most)
	return l.admit(at, a, waiting{ticket, t})
}

func (l *Ledger) open(at clock.Millis, t Turn, trust Trust) *account {
	a := &account{
		budget: t.Budget, most: t.Most, held: map[string]int{}, places: map[string]Place{},
		retention: clock.Millis(t.Retention.Milliseconds()),
	}
	_, recorded := l.records[t.Program]
	if !recorded && at < l.presumeUntil {
		a.presumed = share(t.Budget, t.Most)
	}
	switch {
	case recorded || trust == Foreign:
	case trust == Doubtful:
		a.fallback = true
	default:
		a.limit = share(t.Budget, t.Most)
	}
	l.accounts[t.Program] = a
	return a
}

func (l *Ledger) admit(at clock.Millis, a *account, w waiting) []Effect {
	t := w.turn
	if _, again := a.held[t.Attempt]; again {
		return []Effect{a.allow(w)}
	}
	need := a.spent + a.heldTokens() + t.Most
	r := l.records[t.Program]
	foreign := l.foreign(t.Program, a)
	switch {
	case !a.closed && foreign > 0 && r.version != 0 && need > a.limit && a.askedFor != r.version && !a.writing:
		a.waiting = append(a.waiting, w)
		if a.recalling {
			return nil
		}
		a.recalling, a.askedFor = true, r.version
		return []Effect{Recall{Program: t.Program, Holder: r.Holder}}
	case a.closed || foreign+need > a.budget || need > a.limit && need+foreign > a.cap():
		return append(l.close(at, t.Program, a), Answer{Ticket: w.ticket, Verdict: Spent})
	case need <= a.limit:
		a.held[t.Attempt] = t.Most
		return []Effect{a.allow(w)}
	}
	a.waiting = append(a.waiting, w)
	switch {
	case a.writing || a.recalling:
		return nil
	case at < a.retryAt:
		return a.refuseIdle()
	}
	return l.raise(t.Program, a, need)
}

// refuseIdle answers the turns that wait for a grant which the store does not give. While other turns of the program
// run, they wait on: a turn ends with much less than its most, which leaves room within the limit.
func (a *account) refuseIdle() []Effect {
	if len(a.held) > 0 {
		return nil
	}
	out := make([]Effect, 0, len(a.waiting))
	for _, w := range a.waiting {
		out = append(out, Answer{Ticket: w.ticket, Verdict: Unavailable})
	}
	a.waiting = nil
	return out
}

func (a *account) allow(w waiting) Answer {
	place, ok := a.places[w.turn.Session]
	if !ok {
		place = a.places[""]
	}
	return Answer{Ticket: w.ticket, Verdict: Allowed, Place: place}
}

// foreign returns what other hosts may have handed out of the program under grants, or without a record.
func (l *Ledger) foreign(program string, a *account) int {
	r, recorded := l.records[program]
	if !recorded {
		return a.presumed
	}
	return r.Granted - a.granted
}

// raise asks for a grant that covers need tokens of this host, and a share at least: the store may be away when the
// program needs more.
func (l *Ledger) raise(program string, a *account, need int) []Effect {
	r := l.records[program]
	foreign := l.foreign(program, a)
	own := max(need+grantTurns*a.most, share(a.budget, a.most))
	want := min(foreign+own, a.cap())
	a.writing = true
	return []Effect{Write{Program: program, Granted: want, Version: r.version}}
}

// close records that the program is refused for good.
func (l *Ledger) close(at clock.Millis, program string, a *account) []Effect {
	a.closed = true
	r := l.records[program]
	if a.writing || a.closing && at < a.retryAt || r.Granted >= a.cap() {
		return nil
	}
	a.closing, a.writing = true, true
	return []Effect{Write{Program: program, Granted: a.cap(), Version: r.version}}
}

// Written reports the outcome of a Write and, if it was stored, this host's name and the record's new version.
func (l *Ledger) Written(at clock.Millis, program, holder string, o Outcome, granted int, version uint64) []Effect {
	a, known := l.accounts[program]
	if !known {
		return nil
	}
	a.writing = false
	if o == Failed {
		a.retryAt = at + writeRetry
	}
	if o == Stored {
		foreign := l.foreign(program, a)
		l.records[program] = record{Record: Record{Granted: granted, Holder: holder}, version: version, seen: at}
		a.askedFor = version
		a.granted = granted - foreign
		a.limit = max(a.limit, a.granted)
		a.closing = false
	}
	if o != Failed {
		a.fallback = false
	} else if a.fallback {
		a.fallback, a.limit = false, share(a.budget, a.most)
		return l.resume(at, program, a, true)
	}
	return l.resume(at, program, a, o != Failed)
}

// Recalled reports the end of a Recall; what the holder had was passed to Adopt before.
func (l *Ledger) Recalled(at clock.Millis, program string) []Effect {
	a, ok := l.accounts[program]
	if !ok {
		return nil
	}
	a.recalling = false
	return l.resume(at, program, a, true)
}

// resume decides on the turns that waited for a write; answered is set if the store took or refused it.
func (l *Ledger) resume(at clock.Millis, program string, a *account, answered bool) []Effect {
	if !answered && !a.closed {
		return a.refuseIdle()
	}
	out := l.admitWaiting(at, a)
	if a.closed && !a.writing {
		out = append(out, l.close(at, program, a)...)
	}
	return out
}

// Abandon forgets a turn whose asker no longer waits for the answer.
func (l *Ledger) Abandon(ticket uint64, program string) {
	a, ok := l.accounts[program]
	if !ok {
		return
	}
	a.waiting = slices.DeleteFunc(a.waiting, func(w waiting) bool { return w.ticket == ticket })
}

// admitWaiting decides anew on the turns that wait.
func (l *Ledger) admitWaiting(at clock.Millis, a *account) []Effect {
	var out []Effect
	turns := a.waiting
	a.waiting = nil
	for _, w := range turns {
		out = append(out, l.admit(at, a, w)...)
	}
	return out
}

// Settlement is the end of a turn.
type Settlement struct {
	Program string
	Attempt string
	Session string
	// Tokens is what was handed to the caller.
	Tokens int
	// Place is where the turn ran; empty if it did not run.
	Place Place
}

// Settle replaces the most of a turn by what was handed to its caller.
func (l *Ledger) Settle(at clock.Millis, s Settlement) []Effect {
	a, ok := l.accounts[s.Program]
	if !ok {
		return nil
	}
	if _, held := a.held[s.Attempt]; !held {
		return nil
	}
	delete(a.held, s.Attempt)
	a.spent += s.Tokens
	a.lastUse = at
	if s.Place.Server != "" {
		a.places[s.Session], a.places[""] = s.Place, s.Place
	}
	if a.writing || a.recalling {
		return nil
	}
	return l.admitWaiting(at, a)
}

// Listed sets the records of all programs, by name, and makes the ledger ready.
func (l *Ledger) Listed(at clock.Millis, records map[string]Record, versions map[string]uint64) {
	for program := range l.records {
		if _, ok := records[program]; !ok {
			delete(l.records, program)
		}
	}
	for program, r := range records {
		l.Seen(at, program, r, versions[program])
	}
	l.ready = true
}

// Seen sets the record of one program. Records never shrink.
func (l *Ledger) Seen(at clock.Millis, program string, r Record, version uint64) {
	if old, ok := l.records[program]; ok && old.version >= version {
		return
	}
	l.records[program] = record{Record: r, version: version, seen: at}
}

// Forget drops the record of one program, which was deleted from the store.
func (l *Ledger) Forget(program string) { delete(l.records, program) }

// Account is what one host hands another that accounts for a program from now on.
type Account struct {
	Program   string
	Budget    int
	Most      int
	Spent     int
	Held      map[string]int
	Limit     int
	Granted   int
	Closed    bool
	Retention int64 // in milliseconds
	Places    map[string]Place
}

// Release removes and returns the accounts for which moves reports true. Those with a write under way stay.
func (l *Ledger) Release(moves func(program string) bool) []Account {
	var out []Account
	for program, a := range l.accounts {
		if a.writing || a.recalling || !moves(program) {
			continue
		}
		out = append(out, Account{
			Program: program, Budget: a.budget, Most: a.most, Spent: a.spent, Held: a.held, Limit: a.limit,
			Granted: a.granted, Closed: a.closed, Retention: int64(a.retention), Places: a.places,
		})
		delete(l.accounts, program)
	}
	return out
}

// Adopt takes over accounts of another host. A program that this host accounts for already is charged with both
// accounts and keeps the larger limit only.
func (l *Ledger) Adopt(at clock.Millis, accounts []Account) {
	for _, m := range accounts {
		a, ok := l.accounts[m.Program]
		if !ok {
			a = &account{held: map[string]int{}, places: map[string]Place{}}
			l.accounts[m.Program] = a
		}
		a.budget, a.most = max(a.budget, m.Budget), max(a.most, m.Most)
		a.spent += m.Spent
		for attempt, tokens := range m.Held {
			a.held[attempt] = tokens
		}
		a.granted += m.Granted
		a.limit = max(a.limit, m.Limit, a.granted)
		a.closed = a.closed || m.Closed
		maps.Copy(a.places, m.Places)
		a.retention = max(a.retention, clock.Millis(m.Retention))
		a.lastUse = at
	}
}

// Tick drops accounts that have outlived their programs, and repeats writes of refusals. owns reports whether this
// host accounts for a program.
func (l *Ledger) Tick(at clock.Millis, owns func(program string) bool) []Effect {
	var out []Effect
	longest := clock.Millis(0)
	for program, a := range l.accounts {
		longest = max(longest, a.retention)
		switch {
		case at-a.lastUse > a.retention+forgetSlack && !a.writing:
			delete(l.accounts, program)
		case a.closed && !a.writing && a.closing && at >= a.retryAt:
			out = append(out, l.close(at, program, a)...)
		}
	}
	for program, r := range l.records {
		if _, used := l.accounts[program]; used || at-r.seen <= longest+forgetSlack || longest == 0 || !owns(program) {
			continue
		}
		out = append(out, Remove{Program: program, Version: r.version})
		delete(l.records, program)
	}
	return out
}

// Knows reports whether this host has an account of the program.
func (l *Ledger) Knows(program string) bool {
	_, ok := l.accounts[program]
	return ok
}
