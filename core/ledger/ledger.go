// Package ledger accounts for the tokens that programs generate and keeps each program within its budget. It is a
// reducer: events go in, and effects come out as data.
//
// A program is accounted for by the first host of its rendezvous order. The used tokens of an account are the
// delivered tokens plus the reserved tokens of running turns. Hosts lose their accounts when they restart, and the store
// is unavailable at times; still, the used tokens of all hosts together stay within total = budget + one turn of the
// largest size:
//
//   - The share is three fifths of the budget, and at least one turn. Only a program's founder (package founders) may use it
//     without a record, so that at most one share of a program is ever used without one.
//   - Everything else needs a grant, which is recorded in the store by a conditional update. The grants of a program add
//     up to at most total - share. If the record covers the share, because a host that has the founder's account made it,
//     they add up to at most total.
//   - A host that may have forgotten that it used the share (its account expired or moved) uses none before it has listed
//     the records: a program that goes on elsewhere has one.
//   - A grant may be used for grantLease, and by the founder without a limit. Only the founder deletes a record, when
//     every grant has run out and the program has ended.
//
// A program is refused permanently only when the tokens that are known to be delivered reach its budget. Tokens that may
// have been used by hosts that lost their accounts make a refusal temporary. The permanent refusal is recorded, so that
// hosts without an account refuse the program too.
package ledger

import (
	"slices"
	"time"

	"github.com/hyssopreel/hyssopreel/common/clock"
)

const (
	// shareNumerator and shareDenominator make the share three fifths of the budget: programs that were measured use at most
	// 0.47 of it, so that few need a record. Hosts that must leave the share free grant what is left and one turn.
	shareNumerator, shareDenominator = 3, 5
	// grantHeadroomTurns is the number of turns that a grant covers beyond what is needed: few programs need a second
	// grant, and enough of the budget is left for a grant of another host.
	grantHeadroomTurns = 1
	// writeRetryDelay is the time after a write of unknown outcome before the record is written again.
	writeRetryDelay = clock.Millis(500)
	// grantLease is how long after the start of its write a grant may be used by a host that is not the founder. Records
	// outlive their program by as much.
	grantLease = time.Minute
	// minRetention is the least retention that programs are taken to have.
	minRetention = time.Minute
)

// GrantRecord is the record of a program's grants in the store.
type GrantRecord struct {
	// Granted is the sum of the grants of all hosts, in tokens.
	Granted int `json:"granted"`
	// CoversShare is set if the share that the founder may have used without a record is part of Granted.
	CoversShare bool `json:"covers_share,omitempty"`
	// Exhausted is set if the whole budget was delivered.
	Exhausted bool `json:"exhausted,omitempty"`
	// Holder is the host that received the latest grant.
	Holder string `json:"holder"`
	// RetentionMS is the program's retention in milliseconds.
	RetentionMS int64 `json:"retention_ms,omitempty"`
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

// Founders tells whether this host may use tokens of a program without a record.
type Founders interface {
	// IsFounder reports that for a moment. listedAt is when the last complete list of the records began.
	IsFounder(at clock.Millis, program string, retention time.Duration, listedAt clock.Millis) bool
	// Generation returns the newest generation of founders that this host knows; 0 if it knows none.
	Generation() uint64
}

// Decision is the result of a request for a reservation.
type Decision int

const (
	// Allowed means that the turn may run.
	Allowed Decision = iota
	// BudgetExhausted means that the budget is spent. The program is refused permanently.
	BudgetExhausted
	// GrantUnavailable means that the turn needs a grant and that the store is unavailable, or that running turns have
	// reserved what is left.
	GrantUnavailable
	// NotReady means that this host has not listed the records yet.
	NotReady
	// BudgetUnknown means that other hosts may have used what is left. The program is refused for as long as it is not
	// known that they have not.
	BudgetUnknown
	// StoreUnavailable is GrantUnavailable of a host that knows that it does not reach the store. The ledger does not
	// return it.
	StoreUnavailable
)

// String returns the name of the decision in logs.
func (v Decision) String() string {
	return [...]string{"allowed", "spent", "unavailable", "not ready", "unknown", "store unavailable"}[v]
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
	Program     string
	Granted     int
	CoversShare bool
	Exhausted   bool
	Retention   time.Duration
	Version     uint64

	formerlyGranted int // by the record that is replaced
	startedAt       clock.Millis
}

// Record returns the record to write, without its WriteID.
func (w WriteGrant) Record(holder string) GrantRecord {
	return GrantRecord{
		Granted: w.Granted, CoversShare: w.CoversShare, Exhausted: w.Exhausted, Holder: holder, RetentionMS: w.Retention.Milliseconds(),
	}
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
	// holdsShare is set if all tokens that were used without a record, by any host, are in this account.
	holdsShare bool
	// isOlder is set if the account is older than the first generation that this host read.
	isOlder bool
	// granted is this host's part of the record's Granted. It may be used until grantedUntil, and by the founder after it.
	granted      int
	grantedUntil clock.Millis

	// cachedPrompts has the latest cached prompt of each session, and that of the whole program under "".
	cachedPrompts map[string]CachedPrompt

	writePending bool
	// recallPending is set while the account is requested from the record's holder. recalledVersion is the version of
	// the record for which that was done, or of this host's own write.
	recallPending   bool
	recalledVersion uint64
	// exhausted is set once the program is refused permanently, exhaustionUnrecorded until the store has that.
	exhausted, exhaustionUnrecorded bool
	retryAt                         clock.Millis
	pending                         []pendingTurn
	lastUse                         clock.Millis
	retention                       time.Duration
}

type storedRecord struct {
	GrantRecord
	version uint64
	seenAt  clock.Millis
	// deleting is set while a DeleteRecord is in progress.
	deleting bool
}

// Ledger is the state of the reducer: the accounts of this host, and the records of all programs in the store. It
// is not safe for concurrent use.
type Ledger struct {
	founders Founders
	accounts map[string]*account
	records  map[string]storedRecord
	// forgotten holds the programs of which this host may have used the share and no longer has the account. It may use no
	// share of them before it has listed the records after the given time.
	forgotten map[string]clock.Millis
	ready     bool
	// listedAt is when the last complete list of the records began.
	listedAt clock.Millis
	// longestRetention is that of all programs so far, and at least minRetention.
	longestRetention time.Duration
}

// New returns a ledger that refuses new programs with NotReady until RecordsListed.
func New(f Founders) *Ledger {
	return &Ledger{
		founders: f, accounts: map[string]*account{}, records: map[string]storedRecord{}, forgotten: map[string]clock.Millis{},
		longestRetention: minRetention,
	}
}

// share returns the tokens that the founder may use without a grant: at least one turn, so that a program can start.
func share(budget, maxTurnTokens int) int {
	return max(budget*shareNumerator/shareDenominator, maxTurnTokens)
}

// maxGranted returns the bound of a record's Granted: the budget and one turn, less the share if it has no record.
func (a *account) maxGranted(r GrantRecord) int {
	total := a.budget + a.maxTurnTokens
	if r.CoversShare || a.holdsShare {
		return total
	}
	return total - share(a.budget, a.maxTurnTokens)
}

func (a *account) reservedTokens() int {
	n := 0
	for _, t := range a.reserved {
		n += t
	}
	return n
}

// Reserve requests the reservation of a turn's MaxTokens. The ReserveReply comes at once, or after a write, a
// recall or a settlement.
func (l *Ledger) Reserve(at clock.Millis, requestID uint64, t Turn) []Effect {
	a, ok := l.accounts[t.Program]
	if !ok {
		if !l.ready {
			return []Effect{ReserveReply{RequestID: requestID, Decision: NotReady}}
		}
		a = l.openAccount(at, t)
	}
	a.lastUse = at
	a.maxTurnTokens = max(a.maxTurnTokens, t.MaxTokens)
	return l.admit(at, a, pendingTurn{requestID, t})
}

func (l *Ledger) openAccount(at clock.Millis, t Turn) *account {
	a := &account{
		budget: t.Budget, maxTurnTokens: t.MaxTokens, reserved: map[string]int{}, cachedPrompts: map[string]CachedPrompt{},
		retention: max(t.Retention, minRetention),
	}
	_, recorded := l.records[t.Program]
	_, forgotten := l.forgotten[t.Program]
	a.isOlder = l.founders.Generation() == 0
	a.holdsShare = !recorded && !forgotten && l.isFounder(at, t.Program, a)
	l.longestRetention = max(l.longestRetention, a.retention)
	l.accounts[t.Program] = a
	return a
}

// retention returns the retention that a record names.
func (r GrantRecord) retention() time.Duration {
	return max(time.Duration(r.RetentionMS)*time.Millisecond, minRetention)
}

func (l *Ledger) isFounder(at clock.Millis, program string, a *account) bool {
	return l.founders.IsFounder(at, program, a.retention, l.listedAt)
}

// limit returns the bound of the account's used tokens: the grant, or the share if there is none.
func (l *Ledger) limit(at clock.Millis, program string, a *account) int {
	switch {
	case a.granted > 0 && (at < a.grantedUntil || l.isFounder(at, program, a)):
		return a.granted
	case a.granted == 0 && a.holdsShare && l.isFounder(at, program, a):
		return share(a.budget, a.maxTurnTokens)
	}
	return 0
}

// admit decides on a turn, or adds it to the pending turns and returns the recall or write that it needs.
func (l *Ledger) admit(at clock.Millis, a *account, p pendingTurn) []Effect {
	t := p.turn
	if _, isReserved := a.reserved[t.AttemptID]; isReserved {
		return []Effect{a.allowedReply(p)}
	}
	// No generation precedes the first, so that nobody but its founder can have used the share, and this account shows that
	// it has not.
	if a.isOlder && l.founders.Generation() == 1 && l.isFounder(at, t.Program, a) {
		a.holdsShare = true
	}
	r := l.records[t.Program]
	reserved := a.reservedTokens()
	need := a.spent + reserved + t.MaxTokens
	limit := l.limit(at, t.Program, a)
	elsewhere := l.grantedElsewhere(t.Program, a)
	switch {
	case a.exhausted || r.Exhausted || a.spent >= a.budget:
		return append(l.markExhausted(at, t.Program, a), ReserveReply{RequestID: p.requestID, Decision: BudgetExhausted})
	case a.spent+reserved >= a.budget: // the running turns may deliver less than they have reserved
		a.pending = append(a.pending, p)
		return nil
	// The grants of other hosts count in full against the budget. A turn beyond the limit therefore requests the
	// holder's account first, once for each version of the record: once adopted, only its used tokens count.
	case elsewhere > 0 && need > limit && a.recalledVersion != r.version && !a.writePending:
		a.pending = append(a.pending, p)
		if a.recallPending {
			return nil
		}
		a.recallPending, a.recalledVersion = true, r.version
		return []Effect{RecallAccount{Program: t.Program, Holder: r.Holder}}
	case need <= limit:
		a.reserved[t.AttemptID] = t.MaxTokens
		return []Effect{a.allowedReply(p)}
	case elsewhere+need > a.maxGranted(r.GrantRecord) && reserved == 0 && !a.writePending && !a.recallPending:
		return []Effect{ReserveReply{RequestID: p.requestID, Decision: BudgetUnknown}}
	}
	a.pending = append(a.pending, p)
	switch {
	case a.writePending || a.recallPending || elsewhere+need > a.maxGranted(r.GrantRecord):
		return nil
	case at < a.retryAt:
		return a.refusePendingIfIdle()
	}
	return l.requestGrant(at, t.Program, a, need)
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

// grantedElsewhere returns the tokens that other hosts may have used under grants. This host may know less of the record
// than the accounts that it adopted.
func (l *Ledger) grantedElsewhere(program string, a *account) int {
	return max(l.records[program].Granted-a.granted, 0)
}

// requestGrant requests a grant that covers need tokens of this host, and at least the share: the store may be
// unavailable when the program needs more, and the founder goes on using its share while the record is written.
func (l *Ledger) requestGrant(at clock.Millis, program string, a *account, need int) []Effect {
	r := l.records[program]
	own := max(need+grantHeadroomTurns*a.maxTurnTokens, share(a.budget, a.maxTurnTokens))
	granted := max(min(l.grantedElsewhere(program, a)+own, a.maxGranted(r.GrantRecord)), r.Granted)
	return l.write(at, a, WriteGrant{Program: program, Granted: granted})
}

// write completes a write of the program's record.
func (l *Ledger) write(at clock.Millis, a *account, w WriteGrant) []Effect {
	r := l.records[w.Program]
	w.CoversShare = r.CoversShare || a.holdsShare
	w.Exhausted = w.Exhausted || r.Exhausted
	w.Version, w.Retention, w.formerlyGranted, w.startedAt = r.version, max(a.retention, r.retention()), r.Granted, at
	a.writePending = true
	return []Effect{w}
}

// markExhausted refuses the program permanently and records that, unless the record says so already or a write is pending
// or was not answered within the last writeRetryDelay.
func (l *Ledger) markExhausted(at clock.Millis, program string, a *account) []Effect {
	a.exhausted = true
	r := l.records[program]
	if a.writePending || a.exhaustionUnrecorded && at < a.retryAt || r.Exhausted {
		return nil
	}
	a.exhaustionUnrecorded = true
	used := l.grantedElsewhere(program, a) + a.spent + a.reservedTokens()
	return l.write(at, a, WriteGrant{Program: program, Granted: max(r.Granted, used), Exhausted: true})
}

// GrantWritten handles the outcome of a WriteGrant of this host, the holder. version is that of the new record; it is used
// if the record was stored.
func (l *Ledger) GrantWritten(at clock.Millis, w WriteGrant, holder string, result WriteResult, version uint64) []Effect {
	a, ok := l.accounts[w.Program]
	if !ok {
		return nil
	}
	a.writePending = false
	switch result {
	case WriteUnknown:
		a.retryAt = at + writeRetryDelay
	case WriteStored:
		l.RecordSeen(at, w.Program, w.Record(holder), version)
		a.recalledVersion = version
		// Accounts that were adopted since the write began have brought their parts of the former record.
		a.granted += w.Granted - w.formerlyGranted
		a.grantedUntil = w.startedAt.Add(grantLease)
		a.exhaustionUnrecorded = a.exhaustionUnrecorded && !w.Exhausted
	}
	return l.resumePending(at, w.Program, a, result != WriteUnknown)
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
