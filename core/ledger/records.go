package ledger

import (
	"maps"
	"time"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/founders"
)

// RecordsListed sets the records of all programs and their versions, by program, and makes the ledger ready. startedAt is
// when the list began, and revision the store's revision that it shows: records that are not in it were deleted up to then.
func (l *Ledger) RecordsListed(at, startedAt clock.Millis, revision uint64, records map[string]GrantRecord, versions map[string]uint64) {
	for program, r := range l.records {
		if _, ok := records[program]; !ok && r.version <= revision {
			delete(l.records, program)
		}
	}
	for program, r := range records {
		l.RecordSeen(at, program, r, versions[program])
	}
	l.ready = true
	l.listedAt = max(l.listedAt, startedAt)
	maps.DeleteFunc(l.forgotten, func(_ string, until clock.Millis) bool { return until <= startedAt })
}

// ListedAt returns when the last complete list of the records began.
func (l *Ledger) ListedAt() clock.Millis { return l.listedAt }

// Forgotten returns the number of programs of which this host uses no share before it has listed the records.
func (l *Ledger) Forgotten() int { return len(l.forgotten) }

// LongestRetention returns the longest retention of the programs so far.
func (l *Ledger) LongestRetention() time.Duration { return l.longestRetention }

// RecordSeen sets the record of one program unless the ledger has that version or a newer one.
func (l *Ledger) RecordSeen(at clock.Millis, program string, r GrantRecord, version uint64) {
	if old, ok := l.records[program]; ok && old.version >= version {
		return
	}
	l.records[program] = storedRecord{GrantRecord: r, version: version, seenAt: at}
}

// RecordDeleted removes the record of a program that was deleted from the store.
func (l *Ledger) RecordDeleted(program string) { delete(l.records, program) }

// DeleteFailed handles the failure of a DeleteRecord: the record may still be there.
func (l *Ledger) DeleteFailed(program string) {
	if r, ok := l.records[program]; ok {
		r.deleting = false
		l.records[program] = r
	}
}

// AccountSnapshot is an account in transfer to the host that accounts for the program from now on.
type AccountSnapshot struct {
	Program       string
	Budget        int
	MaxTurnTokens int `msgpack:"Most"`
	Spent         int
	Reserved      map[string]int `msgpack:"Held"`
	HoldsShare    bool
	Granted       int
	Exhausted     bool                    `msgpack:"Closed"`
	RetentionMS   int64                   `msgpack:"Retention"` // in milliseconds
	CachedPrompts map[string]CachedPrompt `msgpack:"Places"`
}

// lifetime returns how long after its last use an account is kept: no turn that it allowed runs for longer, and the
// program has ended.
func (a *account) lifetime() time.Duration {
	lifetime := a.retention + founders.ExpiryGrace
	if len(a.reserved) > 0 {
		lifetime += founders.MaxTurn
	}
	return lifetime
}

// remove deletes an account. The program may go on elsewhere, with a record that is written until the given time. The
// founder uses a grant for longer than its lease, so that the record counts as written now.
func (l *Ledger) remove(at clock.Millis, program string, a *account, recordedBy clock.Millis) {
	delete(l.accounts, program)
	if r, ok := l.records[program]; ok {
		r.seenAt = at
		l.records[program] = r
	}
	if a.holdsShare {
		l.forgotten[program] = recordedBy
	}
}

// ReleaseAccounts removes and returns the accounts for which moves reports true. Accounts with a pending write or
// recall stay.
func (l *Ledger) ReleaseAccounts(at clock.Millis, moves func(program string) bool) []AccountSnapshot {
	var out []AccountSnapshot
	for program, a := range l.accounts {
		if a.writePending || a.recallPending || !moves(program) {
			continue
		}
		out = append(out, AccountSnapshot{
			Program: program, Budget: a.budget, MaxTurnTokens: a.maxTurnTokens, Spent: a.spent, Reserved: a.reserved, HoldsShare: a.holdsShare,
			Granted: a.granted, Exhausted: a.exhausted, RetentionMS: a.retention.Milliseconds(), CachedPrompts: a.cachedPrompts,
		})
		l.remove(at, program, a, at.Add(a.lifetime()+founders.MaxTurn))
	}
	return out
}

// AdoptAccounts adds the accounts of another host. If this host has an account of the program too, spent tokens,
// reservations and grants add up. How old the grants are is not known, so that a host that is not the founder records them
// again before it uses them.
func (l *Ledger) AdoptAccounts(at clock.Millis, accounts []AccountSnapshot) {
	for _, snapshot := range accounts {
		a, ok := l.accounts[snapshot.Program]
		if !ok {
			a = &account{reserved: map[string]int{}, cachedPrompts: map[string]CachedPrompt{}}
			l.accounts[snapshot.Program] = a
		}
		a.budget, a.maxTurnTokens = max(a.budget, snapshot.Budget), max(a.maxTurnTokens, snapshot.MaxTurnTokens)
		a.spent += snapshot.Spent
		maps.Copy(a.reserved, snapshot.Reserved)
		if snapshot.HoldsShare {
			a.holdsShare = true
			delete(l.forgotten, snapshot.Program)
		}
		if snapshot.Granted > 0 {
			a.granted += snapshot.Granted
			a.grantedUntil = 0
		}
		a.exhausted = a.exhausted || snapshot.Exhausted
		maps.Copy(a.cachedPrompts, snapshot.CachedPrompts)
		a.retention = max(a.retention, time.Duration(snapshot.RetentionMS)*time.Millisecond)
		l.longestRetention = max(l.longestRetention, a.retention)
		a.lastUse = at
	}
}

// lifetime returns how long a record is unchanged before its program has ended: the last grant ran out, the last turn
// under it ended, and the program was retained.
func (r GrantRecord) lifetime() time.Duration {
	return grantLease + founders.MaxTurn + r.retention() + founders.ExpiryGrace
}

// Tick deletes accounts and records of expired programs, and writes again that a program is exhausted if the store
// has not confirmed it.
func (l *Ledger) Tick(at clock.Millis) []Effect {
	var out []Effect
	for program, a := range l.accounts {
		switch {
		case at.Sub(a.lastUse) > a.lifetime() && !a.writePending && !a.recallPending:
			l.remove(at, program, a, at)
		case a.exhausted && !a.writePending && a.exhaustionUnrecorded && at >= a.retryAt:
			out = append(out, l.markExhausted(at, program, a)...)
		}
	}
	for program, r := range l.records {
		if _, ok := l.accounts[program]; ok || r.deleting || at.Sub(r.seenAt) <= r.lifetime() {
			continue
		}
		// The founder alone knows whether the program goes on without a record.
		if !l.founders.IsFounder(at, program, r.retention(), l.listedAt) {
			continue
		}
		r.deleting = true
		l.records[program] = r
		out = append(out, DeleteRecord{Program: program, Version: r.version})
	}
	return out
}

// HasAccount reports whether this host has an account of the program.
func (l *Ledger) HasAccount(program string) bool {
	_, ok := l.accounts[program]
	return ok
}
