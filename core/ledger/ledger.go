// Package ledger accounts for the tokens that programs generate and keeps each program within its budget. It is a
// reducer: events go in, and effects come out as data.
//
// A program is accounted for by the first host of its rendezvous order. The used tokens of an account are the
// delivered tokens plus the reserved tokens of running turns. Hosts lose their accounts when they restart, and go
// on for a while without the store; still, the used tokens of all hosts together stay within total = budget + one
// turn of the largest size:
//
//   - The share is a third of total, and at least one turn. Without a grant, an account uses at most the share.
//     Only the first host may use it at once, and the second host while the store is unavailable (SharePolicy).
//   - A grant is recorded in the store by a conditional update. It covers all that its host uses, its share
//     included. The grants of a program add up to at most total - share, so that the share of one other host, of
//     which there is no record, still fits.
//   - In one outage of the store, two shares can be used and lost: that of the first host, which then crashes, and
//     that of the second. A host that starts in an outage is not ready before the store answers, and then presumes
//     that both are used (PresumeSharesUsed). Grants leave room for one; the other counts as granted elsewhere.
//     The host has total - 2*share left under a grant, or its share if the store is unavailable again: three
//     shares are one total. If the share is a whole turn and more than a third of total, the check against the
//     budget leaves the third account budget - share. Shares that are lost in a second outage are not covered.
//
// An exhausted program is recorded with the largest possible grant: hosts without an account refuse it too.
package ledger

import (
	"maps"
	"slices"
	"time"

	"github.com/hyssopreel/hyssopreel/common/clock"
)

const (
	// sharesPerBudget is the number of shares that may be used without a record: two that were lost in an outage, and
	// that of the host that accounts for the program now.
	sharesPerBudget = 3
	// grantHeadroomTurns is the number of turns that a grant covers beyond what is needed: few programs need a second
	// grant, and enough of the budget is left for a grant of another host.
	grantHeadroomTurns = 1
	// writeRetryDelay is the time after a write of unknown outcome before the record is written again.
	writeRetryDelay = clock.Millis(500)
	// expiryGrace is added to a program's retention before its account is deleted.
	expiryGrace = clock.Millis(10_000)
)

// GrantRecord is the record of a program's grants in the store.
type GrantRecord struct {
	// Granted is the sum of the grants of all hosts, in tokens.
	Granted int `json:"granted"`
	// Holder is the host that received the latest grant.
	Holder string `json:"holder"`
	// WriteID is unique to the write: a host recognizes its own write when the store's answer was lost.
	WriteID string `json:"tag"`
}

// Turn is one turn of a program for which a reservation is requested.
type Turn struct {
	Program   string
	AttemptID string `msgpack:"Attempt"`
	// Budget is the program's budget in tokens.
	Budget int
	// MaxTokens bounds the tokens that the turn generates.
	MaxTokens int `msgpack:"Most"`
	Retention time.Duration
	// SessionID identifies a sequence of turns within the program whose prompts extend each other.
	SessionID string `msgpack:"Session"`
}

// CachedPrompt is the backend server that has the prompt of a turn cached.
type CachedPrompt struct {
	Server string
	// Tokens is the size of the prompt and of the answer generated from it.
	Tokens int
}

// SharePolicy says whether a host may use its share of a program of which it has no account.
type SharePolicy int

const (
	// ShareAllowed allows the share at once: this host would have the account if the program had started before.
	ShareAllowed SharePolicy = iota
	// ShareIfStoreDown requires a grant, but allows the share if the store does not answer the first WriteGrant.
	ShareIfStoreDown
	// GrantRequired requires a grant, also while the store is unavailable.
	GrantRequired
)

// Decision is the result of a request for a reservation.
type Decision int

const (
	// Allowed means that the turn may run.
	Allowed Decision = iota
	// BudgetExhausted means that the rest of the budget is too small for the turn. The program is refused
	// permanently.
	BudgetExhausted
	// GrantUnavailable means that the turn needs a grant and that the store is unavailable.
	GrantUnavailable
	// NotReady means that this host has not listed the records yet.
	NotReady
)

// String returns the name of the decision in logs.
func (v Decision) String() string {
	return [...]string{"allowed", "spent", "unavailable", "not ready"}[v]
}

// WriteResult is the outcome of a WriteGrant.
type WriteResult int

const (
	// WriteStored means that the store has the record as requested.
	WriteStored WriteResult = iota
	// WriteConflict means that another host wrote first. Its record was passed to RecordSeen before.
	WriteConflict
	// WriteUnknown means that the store did not answer; the write may have taken effect.
	WriteUnknown
)

// Effect is an action that the host carries out.
type Effect interface{ effect() }

// ReserveReply is the decision on the Reserve call with the same request ID.
type ReserveReply struct {
	RequestID uint64   `msgpack:"Ticket"`
	Decision  Decision `msgpack:"Verdict"`
	// CachedPrompt is that of the session's latest turn, or of the program's if the session is new; empty if there is
	// none.
	CachedPrompt CachedPrompt `msgpack:"Place"`
}

// WriteGrant writes a program's record if the stored version is Version; 0 creates the record. The outcome is
// reported to GrantWritten.
type WriteGrant struct {
	Program string
	Granted int
	Version uint64
}

// RecallAccount requests the account of a program from the holder of its latest grant. A received account is
// passed to AdoptAccounts, then AccountRecalled is called in any case.
type RecallAccount struct {
	Program string
	Holder  string
}

// DeleteRecord deletes the record of an expired program if the stored version is Version.
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

// account is the state of one program on this host. Amounts are in tokens.
type account struct {
	// maxTurnTokens is the largest MaxTokens of the program's turns so far.
	budget, maxTurnTokens int
	// spent is the sum of the delivered tokens.
	spent int
	// reserved is the reserved tokens of the running turns, by attempt ID.
	reserved map[string]int
	// limit bounds spent plus reserved tokens: the share, or the grant if it is larger. 0 if the host may not use its
	// share and has no grant.
	limit int
	// granted is this host's part of the record's Granted.
	granted int
	// presumedElsewhere is the tokens that may have been used without a record, beyond the one share that maxGranted
	// leaves free. It counts while the program has no record.
	presumedElsewhere int

	// cachedPrompts has the latest cached prompt of each session, and that of the whole program under "".
	cachedPrompts map[string]CachedPrompt

	writePending bool
	// recallPending is set while the account is requested from the record's holder. recalledVersion is the version of
	// the record for which that was done, or of this host's own write.
	recallPending   bool
	recalledVersion uint64
	// mayFallBackToShare is set under ShareIfStoreDown until the result of the first WriteGrant.
	mayFallBackToShare bool
	// exhausted is set once the program is refused permanently, exhaustionUnrecorded until the store has that.
	exhausted, exhaustionUnrecorded bool
	retryAt                         clock.Millis
	pending                         []pendingTurn
	lastUse                         clock.Millis
	retention                       clock.Millis
}

type storedRecord struct {
	GrantRecord
	version uint64
	seenAt  clock.Millis
}

// Ledger is the state of the reducer: the accounts of this host, and the records of all programs in the store. It
// is not safe for concurrent use.
type Ledger struct {
	accounts map[string]*account
	records  map[string]storedRecord
	ready    bool
	// presumeSharesUntil is the end of the time in which a program without a record may have started before this host
	// did, during an outage.
	presumeSharesUntil clock.Millis
}

// PresumeSharesUsed makes the ledger presume, until the given time, that two shares are used of any program
// without a record: one by this host before it restarted in an outage, the other by the second host, which served
// in its stead.
func (l *Ledger) PresumeSharesUsed(until clock.Millis) { l.presumeSharesUntil = until }

// New returns a ledger that refuses new programs with NotReady until RecordsListed.
func New() *Ledger {
	return &Ledger{accounts: map[string]*account{}, records: map[string]storedRecord{}}
}

// share returns the tokens that one host may use without a grant: at least one turn, so that a program can start.
func share(budget, maxTurnTokens int) int {
	return max((budget+maxTurnTokens)/sharesPerBudget, maxTurnTokens)
}

// maxGranted returns the bound of a record's Granted: the budget and one turn, less the share of one other host,
// which has no record.
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

// Reserve requests the reservation of a turn's MaxTokens. The ReserveReply comes at once, or after a write, a
// recall or a settlement. policy applies if this host has no account of the program.
func (l *Ledger) Reserve(at clock.Millis, requestID uint64, t Turn, policy SharePolicy) []Effect {
	a, ok := l.accounts[t.Program]
	if !ok {
		if !l.ready {
			return []Effect{ReserveReply{RequestID: requestID, Decision: NotReady}}
		}
		a = l.openAccount(at, t, policy)
	}
	a.lastUse = at
	a.maxTurnTokens = max(a.maxTurnTokens, t.MaxTokens)
	return l.admit(at, a, pendingTurn{requestID, t})
}

func (l *Ledger) openAccount(at clock.Millis, t Turn, policy SharePolicy) *account {
	a := &account{
		budget: t.Budget, maxTurnTokens: t.MaxTokens, reserved: map[string]int{}, cachedPrompts: map[string]CachedPrompt{},
		retention: clock.Millis(t.Retention.Milliseconds()),
	}
	_, recorded := l.records[t.Program]
	if !recorded && at < l.presumeSharesUntil {
		a.presumedElsewhere = share(t.Budget, t.MaxTokens)
	}
	switch {
	case recorded || policy == GrantRequired:
	case policy == ShareIfStoreDown:
		a.mayFallBackToShare = true
	default:
		a.limit = share(t.Budget, t.MaxTokens)
	}
	l.accounts[t.Program] = a
	return a
}

// admit decides on a turn, or adds it to the pending turns and returns the recall or write that it needs.
func (l *Ledger) admit(at clock.Millis, a *account, p pendingTurn) []Effect {
	t := p.turn
	if _, isReserved := a.reserved[t.AttemptID]; isReserved {
		return []Effect{a.allowedReply(p)}
	}
	need := a.spent + a.reservedTokens() + t.MaxTokens
	r := l.records[t.Program]
	elsewhere := l.grantedElsewhere(t.Program, a)
	switch {
	// The grants of other hosts count in full against the budget. A turn beyond the limit therefore requests the
	// holder's account first, once for each version of the record: once adopted, only its used tokens count.
	case !a.exhausted && elsewhere > 0 && r.version != 0 && need > a.limit && a.recalledVersion != r.version && !a.writePending:
		a.pending = append(a.pending, p)
		if a.recallPending {
			return nil
		}
		a.recallPending, a.recalledVersion = true, r.version
		return []Effect{RecallAccount{Program: t.Program, Holder: r.Holder}}
	case a.exhausted || elsewhere+need > a.budget || need > a.limit && need+elsewhere > a.maxGranted():
		return append(l.markExhausted(at, t.Program, a), ReserveReply{RequestID: p.requestID, Decision: BudgetExhausted})
	case need <= a.limit:
		a.reserved[t.AttemptID] = t.MaxTokens
		return []Effect{a.allowedReply(p)}
	}
	a.pending = append(a.pending, p)
	switch {
	case a.writePending || a.recallPending:
		return nil
	case at < a.retryAt:
		return a.refusePendingIfIdle()
	}
	return l.requestGrant(t.Program, a, need)
}

// refusePendingIfIdle refuses the turns that wait for a grant while the store is unavailable. As long as other
// turns of the program run, they stay pending: most turns deliver far less than their max tokens, so that a
// settlement frees part of the limit.
func (a *account) refusePendingIfIdle() []Effect {
	if len(a.reserved) > 0 {
		return nil
	}
	out := make([]Effect, 0, len(a.pending))
	for _, p := range a.pending {
		out = append(out, ReserveReply{RequestID: p.requestID, Decision: GrantUnavailable})
	}
	a.pending = nil
	return out
}

func (a *account) allowedReply(p pendingTurn) ReserveReply {
	cached, ok := a.cachedPrompts[p.turn.SessionID]
	if !ok {
		cached = a.cachedPrompts[""]
	}
	return ReserveReply{RequestID: p.requestID, Decision: Allowed, CachedPrompt: cached}
}

// grantedElsewhere returns the tokens that other hosts may have used under grants, or the presumed ones if the
// program has no record.
func (l *Ledger) grantedElsewhere(program string, a *account) int {
	r, recorded := l.records[program]
	if !recorded {
		return a.presumedElsewhere
	}
	return r.Granted - a.granted
}

// requestGrant requests a grant that covers need tokens of this host, and at least the share: the store may be
// unavailable when the program needs more.
func (l *Ledger) requestGrant(program string, a *account, need int) []Effect {
	r := l.records[program]
	elsewhere := l.grantedElsewhere(program, a)
	own := max(need+grantHeadroomTurns*a.maxTurnTokens, share(a.budget, a.maxTurnTokens))
	granted := min(elsewhere+own, a.maxGranted())
	a.writePending = true
	return []Effect{WriteGrant{Program: program, Granted: granted, Version: r.version}}
}

// markExhausted refuses the program permanently and records that as a grant of the whole budget, unless the record
// says so already or a write is pending or was not answered within the last writeRetryDelay.
func (l *Ledger) markExhausted(at clock.Millis, program string, a *account) []Effect {
	a.exhausted = true
	r := l.records[program]
	if a.writePending || a.exhaustionUnrecorded && at < a.retryAt || r.Granted >= a.maxGranted() {
		return nil
	}
	a.exhaustionUnrecorded, a.writePending = true, true
	return []Effect{WriteGrant{Program: program, Granted: a.maxGranted(), Version: r.version}}
}

// GrantWritten handles the outcome of a WriteGrant. holder (this host), granted and version are those of the new
// record; they are used if it was stored.
func (l *Ledger) GrantWritten(at clock.Millis, program, holder string, result WriteResult, granted int, version uint64) []Effect {
	a, ok := l.accounts[program]
	if !ok {
		return nil
	}
	a.writePending = false
	if result == WriteUnknown {
		a.retryAt = at + writeRetryDelay
	}
	if result == WriteStored {
		elsewhere := l.grantedElsewhere(program, a)
		l.records[program] = storedRecord{GrantRecord: GrantRecord{Granted: granted, Holder: holder}, version: version, seenAt: at}
		a.recalledVersion = version
		a.granted = granted - elsewhere
		a.limit = max(a.limit, a.granted)
		a.exhaustionUnrecorded = false
	}
	if result != WriteUnknown {
		a.mayFallBackToShare = false
	} else if a.mayFallBackToShare {
		a.mayFallBackToShare, a.limit = false, share(a.budget, a.maxTurnTokens)
		return l.resumePending(at, program, a, true)
	}
	return l.resumePending(at, program, a, result != WriteUnknown)
}

// AccountRecalled handles the end of a RecallAccount; the holder's account, if any, was passed to AdoptAccounts
// before.
func (l *Ledger) AccountRecalled(at clock.Millis, program string) []Effect {
	a, ok := l.accounts[program]
	if !ok {
		return nil
	}
	a.recallPending = false
	return l.resumePending(at, program, a, true)
}

// resumePending decides on the pending turns after a write or a recall. retry is false if the store did not
// answer, so that another attempt would fail too.
func (l *Ledger) resumePending(at clock.Millis, program string, a *account, retry bool) []Effect {
	if !retry && !a.exhausted {
		return a.refusePendingIfIdle()
	}
	out := l.admitPending(at, a)
	if a.exhausted && !a.writePending {
		out = append(out, l.markExhausted(at, program, a)...)
	}
	return out
}

// CancelPending removes a pending turn whose caller no longer waits for the reply.
func (l *Ledger) CancelPending(requestID uint64, program string) {
	a, ok := l.accounts[program]
	if !ok {
		return
	}
	a.pending = slices.DeleteFunc(a.pending, func(p pendingTurn) bool { return p.requestID == requestID })
}

// admitPending decides again on all pending turns, in their order.
func (l *Ledger) admitPending(at clock.Millis, a *account) []Effect {
	var out []Effect
	pending := a.pending
	a.pending = nil
	for _, p := range pending {
		out = append(out, l.admit(at, a, p)...)
	}
	return out
}

// Settlement is the final count of a turn.
type Settlement struct {
	Program   string
	AttemptID string `msgpack:"Attempt"`
	SessionID string `msgpack:"Session"`
	// DeliveredTokens is the tokens that the caller received.
	DeliveredTokens int `msgpack:"Tokens"`
	// CachedPrompt is the server that ran the turn; empty if none did.
	CachedPrompt CachedPrompt `msgpack:"Place"`
}

// Settle replaces a turn's reservation by its delivered tokens, and decides again on the pending turns. A turn
// without a reservation is ignored.
func (l *Ledger) Settle(at clock.Millis, s Settlement) []Effect {
	a, ok := l.accounts[s.Program]
	if !ok {
		return nil
	}
	if _, isReserved := a.reserved[s.AttemptID]; !isReserved {
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

// RecordsListed sets the records of all programs and their versions, by program, and makes the ledger ready.
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

// RecordSeen sets the record of one program unless the ledger has that version or a newer one.
func (l *Ledger) RecordSeen(at clock.Millis, program string, r GrantRecord, version uint64) {
	if old, ok := l.records[program]; ok && old.version >= version {
		return
	}
	l.records[program] = storedRecord{GrantRecord: r, version: version, seenAt: at}
}

// RecordDeleted removes the record of a program that was deleted from the store.
func (l *Ledger) RecordDeleted(program string) { delete(l.records, program) }

// AccountSnapshot is an account in transfer to the host that accounts for the program from now on.
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

// ReleaseAccounts removes and returns the accounts for which moves reports true. Accounts with a pending write or
// recall stay.
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

// AdoptAccounts adds the accounts of another host. If this host has an account of the program too, spent tokens,
// reservations and grants add up; the limit is the larger of the two limits, or the sum of the grants if that is
// larger.
func (l *Ledger) AdoptAccounts(at clock.Millis, accounts []AccountSnapshot) {
	for _, snapshot := range accounts {
		a, ok := l.accounts[snapshot.Program]
		if !ok {
			a = &account{reserved: map[string]int{}, cachedPrompts: map[string]CachedPrompt{}}
			l.accounts[snapshot.Program] = a
		}
		a.budget, a.maxTurnTokens = max(a.budget, snapshot.Budget), max(a.maxTurnTokens, snapshot.MaxTurnTokens)
		a.spent += snapshot.Spent
		for attempt, tokens := range snapshot.Reserved {
			a.reserved[attempt] = tokens
		}
		a.granted += snapshot.Granted
		a.limit = max(a.limit, snapshot.Limit, a.granted)
		a.exhausted = a.exhausted || snapshot.Exhausted
		maps.Copy(a.cachedPrompts, snapshot.CachedPrompts)
		a.retention = max(a.retention, clock.Millis(snapshot.RetentionMS))
		a.lastUse = at
	}
}

// Tick deletes accounts and records of expired programs, and writes again that a program is exhausted if the store
// has not confirmed it. owns reports whether this host accounts for a program.
func (l *Ledger) Tick(at clock.Millis, owns func(program string) bool) []Effect {
	var out []Effect
	longestRetention := clock.Millis(0)
	for program, a := range l.accounts {
		longestRetention = max(longestRetention, a.retention)
		switch {
		case at-a.lastUse > a.retention+expiryGrace && !a.writePending:
			delete(l.accounts, program)
		case a.exhausted && !a.writePending && a.exhaustionUnrecorded && at >= a.retryAt:
			out = append(out, l.markExhausted(at, program, a)...)
		}
	}
	// Records have no retention; the longest of the accounts stands in for it.
	for program, r := range l.records {
		if _, ok := l.accounts[program]; ok || at-r.seenAt <= longestRetention+expiryGrace || longestRetention == 0 || !owns(program) {
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
