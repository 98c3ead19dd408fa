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
	// sharesPerBudget is the number of hosts that may each hand out a share of a program without a record.
	sharesPerBudget = 3
	// grantHeadroomTurns is the number of turns that a grant covers beyond what is needed, so that few programs need two and
	// another host still finds room.
	grantHeadroomTurns = 1
	// writeRetryDelay is the pause before a record is written again that could not be written.
	writeRetryDelay = clock.Millis(500)
	// expiryGrace is added to a program's retention before its account is dropped.
	expiryGrace = clock.Millis(10_000)
)

// GrantRecord is what the store knows of a program's budget.
type GrantRecord struct {
	// Granted is the number of tokens that hosts may have handed out under grants.
	Granted int `json:"granted"`
	// Holder is the host that was granted last.
	Holder string `json:"holder"`
	// WriteID is unique to the write.
	WriteID string `json:"tag"`
}

// Turn is one turn of a program that wants to run.
type Turn struct {
	Program   string
	AttemptID string `msgpack:"Attempt"`
	// Budget is the program's budget in tokens.
	Budget int
	// MaxTokens is the most tokens that the turn generates.
	MaxTokens int `msgpack:"Most"`
	Retention time.Duration
	// SessionID is the line of turns within the program.
	SessionID string `msgpack:"Session"`
}

// CachedPrompt is where the prompt of a turn was read last.
type CachedPrompt struct {
	Server string
	// Tokens is the size of the prompt and of what was generated from it.
	Tokens int
}

// SharePolicy says what a host may assume about a program that it has no account of.
type SharePolicy int

const (
	// ShareAllowed is for programs that this host would know if they had begun before: they may use its share.
	ShareAllowed SharePolicy = iota
	// ShareIfStoreDown programs need a grant; while the store is away they may use the share.
	ShareIfStoreDown
	// GrantRequired programs need a grant.
	GrantRequired
)

// Decision is the answer to a turn.
type Decision int

const (
	// Allowed means that the turn may run.
	Allowed Decision = iota
	// BudgetExhausted means that the budget does not hold the turn, now or later.
	BudgetExhausted
	// GrantUnavailable means that the turn needs a grant and that the store does not give one now.
	GrantUnavailable
	// NotReady means that this host has not read the records yet.
	NotReady
)

// String returns the name of the verdict in logs.
func (v Decision) String() string {
	return [...]string{"allowed", "spent", "unavailable", "not ready"}[v]
}

// WriteResult is what became of a Write.
type WriteResult int

const (
	// WriteStored means that the store holds exactly what was asked for.
	WriteStored WriteResult = iota
	// WriteConflict means that another host wrote first. Its record was reported with Seen.
	WriteConflict
	// WriteUnknown means that the store does not answer; the write may have taken effect.
	WriteUnknown
)

// Effect is something that the host must do.
type Effect interface{ effect() }

// ReserveReply answers the turn that was asked for with Ticket.
type ReserveReply struct {
	RequestID uint64   `msgpack:"Ticket"`
	Decision  Decision `msgpack:"Verdict"`
	// CachedPrompt is where the session ran last, or the program if the session is new; empty if neither ran.
	CachedPrompt CachedPrompt `msgpack:"Place"`
}

// WriteGrant asks for a conditional write of a program's record; its outcome comes back as Written. Version 0 creates
// the record.
type WriteGrant struct {
	Program string
	Granted int
	Version uint64
}

// RecallAccount asks the holder of a grant for its account of a program; the outcome comes back as Recalled.
type RecallAccount struct {
	Program string
	Holder  string
}

// DeleteRecord asks for the deletion of a record that has outlived its program.
type DeleteRecord struct {
	Program string
	Version uint64
}

func (ReserveReply) effect()  {}
func (WriteGrant) effect()    {}
func (RecallAccount) effect() {}
func (DeleteRecord) effect()  {}

type pendingTurn struct {
	requestID uint64
	turn      Turn
}

// account is what this host knows of one program.
type account struct {
	budget, maxTurnTokens int
	// spent is what was handed to callers under this host's account.
	spent int
	// reserved is the most that running turns generate, by attempt.
	reserved map[string]int
	// limit is what this host may hand out: its share, or what was granted to it.
	limit int
	// granted is the part of the record's grants that is this host's.
	granted int
	// presumedElsewhere is what other hosts may have handed out without a record, beside the one share for which grants leave
	// room.
	presumedElsewhere int

	// cachedPrompts holds where each session ran last, and under "" where the program did.
	cachedPrompts map[string]CachedPrompt

	writePending bool
	// recallPending is set while the holder of a grant is asked; askedFor is the record's version at that time.
	recallPending   bool
	recalledVersion uint64
	// mayFallBackToShare is set while the host may still take its share because the store is away.
	mayFallBackToShare bool
	// exhausted is set once the program was refused for good; closing until that is recorded.
	exhausted, exhaustionUnrecorded bool
	retryAt                         clock.Millis
	pending                         []pendingTurn
	lastUse                         clock.Millis
	retention                       clock.Millis
}

type knownRecord struct {
	GrantRecord
	version uint64
	seenAt  clock.Millis
}

// Ledger is the state of the reducer. It is not safe for concurrent use.
type Ledger struct {
	accounts map[string]*account
	records  map[string]knownRecord
	ready    bool
	// presumeSharesUntil is the end of the time in which programs may have begun before this host started, while the store
	// was away.
	presumeSharesUntil clock.Millis
}

// PresumeSharesUsed makes the ledger assume, until then, that two other hosts may have used their shares of a program
// that has no record: this host lost its memory while the store was away, and the next in rank served in its place.
func (l *Ledger) PresumeSharesUsed(until clock.Millis) { l.presumeSharesUntil = until }

// New returns a ledger that is not ready: it refuses turns until the records were listed.
func New() *Ledger {
	return &Ledger{accounts: map[string]*account{}, records: map[string]knownRecord{}}
}

// share returns what one host may hand out without a record.
func share(budget, most int) int { return max((budget+most)/sharesPerBudget, most) }

// maxGranted returns the most that records may grant: the budget and one turn, less the share of one other host.
func (a *account) maxGranted() int {
	return a.budget + a.maxTurnTokens - share(a.budget, a.maxTurnTokens)
}

func (a *account) reservedTokens() int {
	n := 0
	for _, t := range a.reserved {
		n += t
	}
	return n
}

// Reserve asks whether a turn may run. trust applies if this host has no account of the program.
func (l *Ledger) Reserve(at clock.Millis, ticket uint64, t Turn, trust SharePolicy) []Effect {
	a, ok := l.accounts[t.Program]
	if !ok {
		if !l.ready {
			return []Effect{ReserveReply{RequestID: ticket, Decision: NotReady}}
		}
		a = l.openAccount(at, t, trust)
	}
	a.lastUse = at
	a.maxTurnTokens = max(a.maxTurnTokens, t.MaxTokens)
	return l.admit(at, a, pendingTurn{ticket, t})
}

func (l *Ledger) openAccount(at clock.Millis, t Turn, trust SharePolicy) *account {
	a := &account{
		budget: t.Budget, maxTurnTokens: t.MaxTokens, reserved: map[string]int{}, cachedPrompts: map[string]CachedPrompt{},
		retention: clock.Millis(t.Retention.Milliseconds()),
	}
	_, recorded := l.records[t.Program]
	if !recorded && at < l.presumeSharesUntil {
		a.presumedElsewhere = share(t.Budget, t.MaxTokens)
	}
	switch {
	case recorded || trust == GrantRequired:
	case trust == ShareIfStoreDown:
		a.mayFallBackToShare = true
	default:
		a.limit = share(t.Budget, t.MaxTokens)
	}
	l.accounts[t.Program] = a
	return a
}

func (l *Ledger) admit(at clock.Millis, a *account, w pendingTurn) []Effect {
	t := w.turn
	if _, again := a.reserved[t.AttemptID]; again {
		return []Effect{a.allowedReply(w)}
	}
	need := a.spent + a.reservedTokens() + t.MaxTokens
	r := l.records[t.Program]
	foreign := l.grantedElsewhere(t.Program, a)
	switch {
	case !a.exhausted && foreign > 0 && r.version != 0 && need > a.limit && a.recalledVersion != r.version && !a.writePending:
		a.pending = append(a.pending, w)
		if a.recallPending {
			return nil
		}
		a.recallPending, a.recalledVersion = true, r.version
		return []Effect{RecallAccount{Program: t.Program, Holder: r.Holder}}
	case a.exhausted || foreign+need > a.budget || need > a.limit && need+foreign > a.maxGranted():
		return append(l.markExhausted(at, t.Program, a), ReserveReply{RequestID: w.requestID, Decision: BudgetExhausted})
	case need <= a.limit:
		a.reserved[t.AttemptID] = t.MaxTokens
		return []Effect{a.allowedReply(w)}
	}
	a.pending = append(a.pending, w)
	switch {
	case a.writePending || a.recallPending:
		return nil
	case at < a.retryAt:
		return a.refusePendingIfIdle()
	}
	return l.requestGrant(t.Program, a, need)
}

// refusePendingIfIdle answers the turns that wait for a grant which the store does not give. While other turns of the program
// run, they wait on: a turn ends with much less than its most, which leaves room within the limit.
func (a *account) refusePendingIfIdle() []Effect {
	if len(a.reserved) > 0 {
		return nil
	}
	out := make([]Effect, 0, len(a.pending))
	for _, w := range a.pending {
		out = append(out, ReserveReply{RequestID: w.requestID, Decision: GrantUnavailable})
	}
	a.pending = nil
	return out
}

func (a *account) allowedReply(w pendingTurn) ReserveReply {
	place, ok := a.cachedPrompts[w.turn.SessionID]
	if !ok {
		place = a.cachedPrompts[""]
	}
	return ReserveReply{RequestID: w.requestID, Decision: Allowed, CachedPrompt: place}
}

// grantedElsewhere returns what other hosts may have handed out of the program under grants, or without a record.
func (l *Ledger) grantedElsewhere(program string, a *account) int {
	r, recorded := l.records[program]
	if !recorded {
		return a.presumedElsewhere
	}
	return r.Granted - a.granted
}

// requestGrant asks for a grant that covers need tokens of this host, and a share at least: the store may be away when the
// program needs more.
func (l *Ledger) requestGrant(program string, a *account, need int) []Effect {
	r := l.records[program]
	foreign := l.grantedElsewhere(program, a)
	own := max(need+grantHeadroomTurns*a.maxTurnTokens, share(a.budget, a.maxTurnTokens))
	want := min(foreign+own, a.maxGranted())
	a.writePending = true
	return []Effect{WriteGrant{Program: program, Granted: want, Version: r.version}}
}

// markExhausted records that the program is refused for good.
func (l *Ledger) markExhausted(at clock.Millis, program string, a *account) []Effect {
	a.exhausted = true
	r := l.records[program]
	if a.writePending || a.exhaustionUnrecorded && at < a.retryAt || r.Granted >= a.maxGranted() {
		return nil
	}
	a.exhaustionUnrecorded, a.writePending = true, true
	return []Effect{WriteGrant{Program: program, Granted: a.maxGranted(), Version: r.version}}
}

// GrantWritten reports the outcome of a Write and, if it was stored, this host's name and the record's new version.
func (l *Ledger) GrantWritten(at clock.Millis, program, holder string, o WriteResult, granted int, version uint64) []Effect {
	a, known := l.accounts[program]
	if !known {
		return nil
	}
	a.writePending = false
	if o == WriteUnknown {
		a.retryAt = at + writeRetryDelay
	}
	if o == WriteStored {
		foreign := l.grantedElsewhere(program, a)
		l.records[program] = knownRecord{GrantRecord: GrantRecord{Granted: granted, Holder: holder}, version: version, seenAt: at}
		a.recalledVersion = version
		a.granted = granted - foreign
		a.limit = max(a.limit, a.granted)
		a.exhaustionUnrecorded = false
	}
	if o != WriteUnknown {
		a.mayFallBackToShare = false
	} else if a.mayFallBackToShare {
		a.mayFallBackToShare, a.limit = false, share(a.budget, a.maxTurnTokens)
		return l.resumePending(at, program, a, true)
	}
	return l.resumePending(at, program, a, o != WriteUnknown)
}

// AccountRecalled reports the end of a Recall; what the holder had was passed to Adopt before.
func (l *Ledger) AccountRecalled(at clock.Millis, program string) []Effect {
	a, ok := l.accounts[program]
	if !ok {
		return nil
	}
	a.recallPending = false
	return l.resumePending(at, program, a, true)
}

// resumePending decides on the turns that waited for a write; answered is set if the store took or refused it.
func (l *Ledger) resumePending(at clock.Millis, program string, a *account, answered bool) []Effect {
	if !answered && !a.exhausted {
		return a.refusePendingIfIdle()
	}
	out := l.admitPending(at, a)
	if a.exhausted && !a.writePending {
		out = append(out, l.markExhausted(at, program, a)...)
	}
	return out
}

// CancelPending forgets a turn whose asker no longer waits for the answer.
func (l *Ledger) CancelPending(ticket uint64, program string) {
	a, ok := l.accounts[program]
	if !ok {
		return
	}
	a.pending = slices.DeleteFunc(a.pending, func(w pendingTurn) bool { return w.requestID == ticket })
}

// admitPending decides anew on the turns that wait.
func (l *Ledger) admitPending(at clock.Millis, a *account) []Effect {
	var out []Effect
	turns := a.pending
	a.pending = nil
	for _, w := range turns {
		out = append(out, l.admit(at, a, w)...)
	}
	return out
}

// Settlement is the end of a turn.
type Settlement struct {
	Program   string
	AttemptID string `msgpack:"Attempt"`
	SessionID string `msgpack:"Session"`
	// DeliveredTokens is what was handed to the caller.
	DeliveredTokens int `msgpack:"Tokens"`
	// CachedPrompt is where the turn ran; empty if it did not run.
	CachedPrompt CachedPrompt `msgpack:"Place"`
}

// Settle replaces the most of a turn by what was handed to its caller.
func (l *Ledger) Settle(at clock.Millis, s Settlement) []Effect {
	a, ok := l.accounts[s.Program]
	if !ok {
		return nil
	}
	if _, held := a.reserved[s.AttemptID]; !held {
		return nil
	}
	delete(a.reserved, s.AttemptID)
	a.spent += s.DeliveredTokens
	a.lastUse = at
	if s.CachedPrompt.Server != "" {
		a.cachedPrompts[s.SessionID], a.cachedPrompts[""] = s.CachedPrompt, s.CachedPrompt
	}
	if a.writePending || a.recallPending {
		return nil
	}
	return l.admitPending(at, a)
}

// RecordsListed sets the records of all programs, by name, and makes the ledger ready.
func (l *Ledger) RecordsListed(at clock.Millis, records map[string]GrantRecord, versions map[string]uint64) {
	for program := range l.records {
		if _, ok := records[program]; !ok {
			delete(l.records, program)
		}
	}
	for program, r := range records {
		l.RecordSeen(at, program, r, versions[program])
	}
	l.ready = true
}

// RecordSeen sets the record of one program. Records never shrink.
func (l *Ledger) RecordSeen(at clock.Millis, program string, r GrantRecord, version uint64) {
	if old, ok := l.records[program]; ok && old.version >= version {
		return
	}
	l.records[program] = knownRecord{GrantRecord: r, version: version, seenAt: at}
}

// RecordDeleted drops the record of one program, which was deleted from the store.
func (l *Ledger) RecordDeleted(program string) { delete(l.records, program) }

// AccountSnapshot is what one host hands another that accounts for a program from now on.
type AccountSnapshot struct {
	Program       string
	Budget        int
	MaxTurnTokens int `msgpack:"Most"`
	Spent         int
	Reserved      map[string]int `msgpack:"Held"`
	Limit         int
	Granted       int
	Exhausted     bool                    `msgpack:"Closed"`
	RetentionMS   int64                   `msgpack:"Retention"` // in milliseconds
	CachedPrompts map[string]CachedPrompt `msgpack:"Places"`
}

// ReleaseAccounts removes and returns the accounts for which moves reports true. Those with a write under way stay.
func (l *Ledger) ReleaseAccounts(moves func(program string) bool) []AccountSnapshot {
	var out []AccountSnapshot
	for program, a := range l.accounts {
		if a.writePending || a.recallPending || !moves(program) {
			continue
		}
		out = append(out, AccountSnapshot{
			Program: program, Budget: a.budget, MaxTurnTokens: a.maxTurnTokens, Spent: a.spent, Reserved: a.reserved, Limit: a.limit,
			Granted: a.granted, Exhausted: a.exhausted, RetentionMS: int64(a.retention), CachedPrompts: a.cachedPrompts,
		})
		delete(l.accounts, program)
	}
	return out
}

// AdoptAccounts takes over accounts of another host. A program that this host accounts for already is charged with both
// accounts and keeps the larger limit only.
func (l *Ledger) AdoptAccounts(at clock.Millis, accounts []AccountSnapshot) {
	for _, m := range accounts {
		a, ok := l.accounts[m.Program]
		if !ok {
			a = &account{reserved: map[string]int{}, cachedPrompts: map[string]CachedPrompt{}}
			l.accounts[m.Program] = a
		}
		a.budget, a.maxTurnTokens = max(a.budget, m.Budget), max(a.maxTurnTokens, m.MaxTurnTokens)
		a.spent += m.Spent
		for attempt, tokens := range m.Reserved {
			a.reserved[attempt] = tokens
		}
		a.granted += m.Granted
		a.limit = max(a.limit, m.Limit, a.granted)
		a.exhausted = a.exhausted || m.Exhausted
		maps.Copy(a.cachedPrompts, m.CachedPrompts)
		a.retention = max(a.retention, clock.Millis(m.RetentionMS))
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
		case at-a.lastUse > a.retention+expiryGrace && !a.writePending:
			delete(l.accounts, program)
		case a.exhausted && !a.writePending && a.exhaustionUnrecorded && at >= a.retryAt:
			out = append(out, l.markExhausted(at, program, a)...)
		}
	}
	for program, r := range l.records {
		if _, used := l.accounts[program]; used || at-r.seenAt <= longest+expiryGrace || longest == 0 || !owns(program) {
			continue
		}
		out = append(out, DeleteRecord{Program: program, Version: r.version})
		delete(l.records, program)
	}
	return out
}

// HasAccount reports whether this host has an account of the program.
func (l *Ledger) HasAccount(program string) bool {
	_, ok := l.accounts[program]
	return ok
}
