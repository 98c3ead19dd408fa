package ledger_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/ledger"
)

func TestLedger(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ledger")
}

func testTurn(attempt string) ledger.Turn {
	return ledger.Turn{Program: program, AttemptID: attempt, Budget: 1200, MaxTokens: 290, Retention: time.Minute, SessionID: "s"}
}

// right says whether this host is the founder of all programs. Tests change it.
type right bool

func (r *right) IsFounder(clock.Millis, string, time.Duration, clock.Millis) bool { return bool(*r) }

func (r *right) Generation() uint64 { return 2 }

// firstGeneration is the right of a founder in a fleet that starts.
type firstGeneration struct {
	right
	generation uint64
}

func (f *firstGeneration) Generation() uint64 { return f.generation }

// newReadyLedger returns the ledger of a host that is the founder of all programs, or of none.
func newReadyLedger(isFounder bool) *ledger.Ledger {
	r := right(isFounder)
	l := ledger.New(&r)
	l.RecordsListed(0, 0, 0, nil, nil)
	return l
}

// listedLedger returns the ledger of a host that found a record of the program.
func listedLedger(isFounder bool, record ledger.GrantRecord) *ledger.Ledger {
	r := right(isFounder)
	l := ledger.New(&r)
	l.RecordsListed(0, 0, 7, map[string]ledger.GrantRecord{program: record}, map[string]uint64{program: 7})
	return l
}

func granted(l *ledger.Ledger, at clock.Millis, effects []ledger.Effect, version uint64) []ledger.Effect {
	GinkgoHelper()
	Expect(effects).To(ContainElement(BeAssignableToTypeOf(ledger.WriteGrant{})))
	for _, e := range effects {
		if w, ok := e.(ledger.WriteGrant); ok {
			return l.GrantWritten(at, w, "a", ledger.WriteStored, version)
		}
	}
	return nil
}

func decisionOf(effects []ledger.Effect) ledger.Decision {
	GinkgoHelper()
	for _, e := range effects {
		if a, ok := e.(ledger.ReserveReply); ok {
			return a.Decision
		}
	}
	Fail("no ReserveReply among the effects")
	return 0
}

var _ = Describe("Ledger", func() {
	// Guards against a host that allows a whole budget again after a restart.
	It("refuses turns until the records were listed", func() {
		Expect(decisionOf(ledger.New(new(right)).Reserve(0, 1, testTurn("t1")))).To(Equal(ledger.NotReady))
	})

	It("allows the turns of a program within its share without a write to the store", func() {
		l := newReadyLedger(true)
		for i, attempt := range []string{"t1", "t2", "t3"} {
			effects := l.Reserve(0, uint64(i), testTurn(attempt))
			Expect(effects).To(HaveLen(1))
			Expect(decisionOf(effects)).To(Equal(ledger.Allowed))
			l.Settle(0, ledger.Settlement{Program: program, AttemptID: attempt, SessionID: "s", DeliveredTokens: 50})
		}
	})

	// Guards against a program that loops and generates tokens without end, and against one that is refused although its
	// budget is not spent.
	It("refuses a program whose budget is spent, and records that", func() {
		l := newReadyLedger(true)
		Expect(decisionOf(l.Reserve(0, 1, testTurn("t1")))).To(Equal(ledger.Allowed))
		l.Settle(0, ledger.Settlement{Program: program, AttemptID: "t1", DeliveredTokens: 1199})
		Expect(decisionOf(granted(l, 0, l.Reserve(0, 2, testTurn("t2")), 1))).To(Equal(ledger.Allowed), "a token of the budget is left")
		l.Settle(0, ledger.Settlement{Program: program, AttemptID: "t2", DeliveredTokens: 1})
		effects := l.Reserve(0, 3, testTurn("t3"))
		Expect(decisionOf(effects)).To(Equal(ledger.BudgetExhausted))
		Expect(effects).To(ContainElement(HaveField("Exhausted", true)))
	})

	// Guards against a permanent refusal because of tokens that running turns have only reserved.
	It("lets a turn wait while running turns have reserved the rest of the budget", func() {
		l := newReadyLedger(true)
		Expect(decisionOf(l.Reserve(0, 1, testTurn("t1")))).To(Equal(ledger.Allowed))
		Expect(decisionOf(l.Reserve(0, 2, testTurn("t2")))).To(Equal(ledger.Allowed), "the share covers two turns")
		granted(l, 0, l.Reserve(0, 3, testTurn("t3")), 1)
		Expect(decisionOf(l.Reserve(0, 4, testTurn("t4")))).To(Equal(ledger.Allowed), "the grant covers one turn more")
		Expect(decisionOf(granted(l, 0, l.Reserve(0, 5, testTurn("t5")), 2))).To(Equal(ledger.Allowed), "some of the budget is left")
		Expect(l.Reserve(0, 6, testTurn("t6"))).To(BeEmpty())
		Expect(decisionOf(l.Settle(0, ledger.Settlement{Program: program, AttemptID: "t1", DeliveredTokens: 0}))).To(Equal(ledger.Allowed))
	})

	// Guards against an exhausted program that is allowed again once all hosts have restarted and lost its account.
	It("refuses a program whose record says that it is exhausted", func() {
		l := listedLedger(true, ledger.GrantRecord{Granted: 1200, Holder: "stopped", Exhausted: true})
		Expect(decisionOf(l.Reserve(0, 1, testTurn("t1")))).To(Equal(ledger.BudgetExhausted))
	})

	// Guards against a permanent refusal because of tokens that a lost host was granted and may not have used.
	It("refuses a program for a time whose budget was granted to a host that is gone", func() {
		l := listedLedger(true, ledger.GrantRecord{Granted: 1490, Holder: "stopped", CoversShare: true})
		Expect(l.Reserve(0, 1, testTurn("t1"))).To(Equal([]ledger.Effect{ledger.RecallAccount{Program: program, Holder: "stopped"}}))
		Expect(decisionOf(l.AccountRecalled(0, program))).To(Equal(ledger.BudgetUnknown))
	})

	// Guards against a wrong refusal when two hosts disagree about the first host of the rendezvous order.
	It("adopts the account of the grant's holder instead of counting the whole grant as spent", func() {
		l := listedLedger(true, ledger.GrantRecord{Granted: 700, Holder: "b"})
		l.Reserve(0, 1, testTurn("t1"))
		l.AdoptAccounts(0, []ledger.AccountSnapshot{{Program: program, Budget: 1200, MaxTurnTokens: 290, Spent: 100, Granted: 700}})
		Expect(decisionOf(l.AccountRecalled(0, program))).To(Equal(ledger.Allowed))
	})

	DescribeTable("a host that is not the founder requests a grant first",
		func(result ledger.WriteResult, want ledger.Decision) {
			l := newReadyLedger(false)
			effects := l.Reserve(0, 1, testTurn("t1"))
			Expect(effects).To(HaveLen(1))
			w, ok := effects[0].(ledger.WriteGrant)
			Expect(ok).To(BeTrue())
			Expect(w.Version).To(BeZero())
			Expect(w.CoversShare).To(BeFalse())
			Expect(decisionOf(l.GrantWritten(0, w, "a", result, 5))).To(Equal(want))
		},
		Entry("granted", ledger.WriteStored, ledger.Allowed),
		Entry("store unavailable", ledger.WriteUnknown, ledger.GrantUnavailable),
	)

	// Guards against the tokens of two hosts that add up to more than the budget: the founder may use its share without
	// knowing of the record.
	It("leaves the share of the founder free", func() {
		l := newReadyLedger(false)
		t := testTurn("t1")
		t.MaxTokens = 100
		w := l.Reserve(0, 1, t)[0].(ledger.WriteGrant)
		l.GrantWritten(0, w, "a", ledger.WriteStored, 1)
		for i := range 20 {
			t.AttemptID = fmt.Sprint("more-", i)
			for _, e := range l.Reserve(0, uint64(i+2), t) {
				if w, ok := e.(ledger.WriteGrant); ok {
					Expect(w.Granted).To(BeNumerically("<=", 1300-720))
					l.GrantWritten(0, w, "a", ledger.WriteStored, uint64(i+2))
				}
			}
		}
	})

	// Guards against a program that can't go on when an outage of the store follows soon after the crash of its first
	// host, and against a record that covers less than the founder goes on to use while it is written.
	DescribeTable("requests a grant of at least the share", func(isFounder bool, use, want int) {
		l := newReadyLedger(isFounder)
		t := testTurn("t1")
		t.Budget, t.MaxTokens = 9000, use
		effects := l.Reserve(0, 1, t)
		if isFounder {
			Expect(decisionOf(effects)).To(Equal(ledger.Allowed))
			l.AdoptAccounts(0, []ledger.AccountSnapshot{{Program: program, Budget: 9000, MaxTurnTokens: use, Granted: 20}})
			t.AttemptID = "t2"
			effects = l.Reserve(0, 2, t)
		}
		Expect(effects).To(ContainElement(HaveField("Granted", want)))
	},
		Entry("not the founder: as far as the founder's share stays free", false, 290, 9290-5400),
		Entry("founder that adopted an account with a small grant", true, 290, 5400),
	)

	// Guards against programs that start with the fleet and cannot use their whole budget.
	It("claims the share of an account that is older than the first generation", func() {
		for generation, want := range map[uint64]int{1: 1490, 2: 720} {
			f := &firstGeneration{}
			l := ledger.New(f)
			l.RecordsListed(0, 0, 0, nil, nil)
			first := l.Reserve(0, 1, testTurn("t1"))
			most := first[0].(ledger.WriteGrant).Granted
			granted(l, 0, first, 1)
			f.right, f.generation = true, generation
			for i := range 5 {
				for _, e := range l.Reserve(0, uint64(i+2), testTurn(fmt.Sprint("more-", i))) {
					if w, ok := e.(ledger.WriteGrant); ok {
						most = w.Granted
						l.GrantWritten(0, w, "a", ledger.WriteStored, uint64(i+2))
					}
				}
			}
			Expect(most).To(Equal(want))
		}
	})

	// Guards against a host that goes on without a record after it has lost the right to: a later founder would use the
	// share once more.
	It("uses its share only while it is the founder", func() {
		r := right(true)
		l := ledger.New(&r)
		l.RecordsListed(0, 0, 0, nil, nil)
		t := testTurn("t1")
		t.MaxTokens = 100
		Expect(decisionOf(l.Reserve(0, 1, t))).To(Equal(ledger.Allowed))
		r = false
		t.AttemptID = "t2"
		effects := l.Reserve(0, 2, t)
		Expect(effects).To(ContainElement(HaveField("CoversShare", true)), "the share is in the account that the grant covers")
	})

	// Guards against a founder that lost its account of a program, uses its share again, and does not know the record that
	// another host has made since.
	It("uses no share of a program whose account it gave away or let expire, until it has listed the records", func() {
		for _, forget := range []func(l *ledger.Ledger){
			func(l *ledger.Ledger) { l.ReleaseAccounts(0, func(string) bool { return true }) },
			func(l *ledger.Ledger) { l.Tick(200_000) },
		} {
			l := newReadyLedger(true)
			Expect(decisionOf(l.Reserve(0, 1, testTurn("t1")))).To(Equal(ledger.Allowed))
			forget(l)
			Expect(l.HasAccount(program)).To(BeFalse())
			Expect(l.Forgotten()).To(Equal(1))
			l.RecordsListed(200_000, 100, 0, nil, nil) // began before the program can have expired
			Expect(l.Reserve(200_000, 2, testTurn("t2"))).To(ContainElement(HaveField("CoversShare", false)))
		}
		l := newReadyLedger(true)
		Expect(decisionOf(l.Reserve(0, 1, testTurn("t1")))).To(Equal(ledger.Allowed))
		l.Tick(200_000)
		l.RecordsListed(200_001, 200_001, 0, nil, nil)
		Expect(decisionOf(l.Reserve(200_002, 2, testTurn("t2")))).To(Equal(ledger.Allowed))
	})

	// Guards against a grant that is used after its record was deleted, by a host that was cut off.
	It("uses a grant for the time of its lease, and as the founder for longer", func() {
		r := right(false)
		l := ledger.New(&r)
		l.RecordsListed(0, 0, 0, nil, nil)
		Expect(decisionOf(granted(l, 0, l.Reserve(0, 1, testTurn("t1")), 1))).To(Equal(ledger.Allowed))
		l.Settle(0, ledger.Settlement{Program: program, AttemptID: "t1", DeliveredTokens: 10})
		Expect(l.Reserve(60_000, 2, testTurn("t2"))).To(ContainElement(BeAssignableToTypeOf(ledger.WriteGrant{})))
		r = true
		Expect(decisionOf(l.Reserve(60_000, 3, testTurn("t3")))).To(Equal(ledger.Allowed))
	})

	// Guards against an account that moves to and fro and whose grant is used for longer each time.
	It("records a grant again that it adopted, unless it is the founder", func() {
		adopted := []ledger.AccountSnapshot{{Program: program, Budget: 1200, MaxTurnTokens: 290, Spent: 100, Granted: 700}}
		for _, isFounder := range []bool{false, true} {
			l := newReadyLedger(isFounder)
			if effects := l.Reserve(0, 1, testTurn("t1")); !isFounder {
				granted(l, 0, effects, 1)
			}
			l.AdoptAccounts(0, adopted)
			effects := l.Reserve(0, 2, testTurn("t2"))
			Expect(len(effects) == 1 && effects[0] == ledger.Effect(ledger.ReserveReply{RequestID: 2})).To(Equal(isFounder))
		}
	})

	// Guards against a program that gives up what it was granted when the grant is recorded again.
	It("records a grant again in full", func() {
		l := listedLedger(false, ledger.GrantRecord{Granted: 1000, Holder: "b"})
		l.AdoptAccounts(0, []ledger.AccountSnapshot{{Program: program, Budget: 1200, MaxTurnTokens: 290, Spent: 100, Granted: 1000}})
		Expect(l.Reserve(0, 1, testTurn("t1"))).To(ContainElement(HaveField("Granted", 1000)))
	})

	// Guards against a record that is deleted while its program goes on at a host that has a grant, or at the founder.
	It("deletes a record only as the founder, when the program has ended", func() {
		for _, isFounder := range []bool{false, true} {
			l := listedLedger(isFounder, ledger.GrantRecord{Granted: 700, Holder: "b", RetentionMS: 90_000})
			Expect(l.Tick(220_000)).To(BeEmpty())
			deleted := l.Tick(220_001)
			Expect(len(deleted) == 1).To(Equal(isFounder))
		}
	})

	// Guards against a founder that uses a grant for longer than its lease, loses the account and deletes the record while the
	// program goes on. The random histories found it.
	It("keeps a record for as long after it lost the account as after a write", func() {
		l := newReadyLedger(true)
		Expect(decisionOf(l.Reserve(0, 1, testTurn("t1")))).To(Equal(ledger.Allowed))
		Expect(decisionOf(l.Reserve(0, 2, testTurn("t2")))).To(Equal(ledger.Allowed))
		granted(l, 0, l.Reserve(0, 3, testTurn("t3")), 1)
		Expect(decisionOf(l.Reserve(180_000, 4, testTurn("t4")))).To(Equal(ledger.Allowed))
		l.ReleaseAccounts(185_000, func(string) bool { return true })
		Expect(l.Tick(375_000)).To(BeEmpty())
		Expect(l.Tick(375_001)).To(Equal([]ledger.Effect{ledger.DeleteRecord{Program: program, Version: 1}}))
		Expect(l.Tick(375_002)).To(BeEmpty(), "the deletion is in progress")
		l.DeleteFailed(program)
		Expect(l.Tick(375_003)).To(HaveLen(1))
	})

	// Guards against a record that is forgotten because a list that began before it was written arrives after it.
	It("keeps a record that is newer than a list", func() {
		l := newReadyLedger(true)
		l.RecordSeen(0, program, ledger.GrantRecord{Granted: 1490, Exhausted: true}, 9)
		l.RecordsListed(1, 0, 8, nil, nil)
		Expect(decisionOf(l.Reserve(1, 1, testTurn("t1")))).To(Equal(ledger.BudgetExhausted))
		l.RecordsListed(2, 2, 9, nil, nil)
		Expect(decisionOf(newReadyLedger(true).Reserve(1, 1, testTurn("t1")))).To(Equal(ledger.Allowed))
	})

	// Guards against refusing concurrent child programs during an outage of the store: each running turn counts with
	// its max tokens, most of which become free when it ends.
	It("keeps a turn pending while other turns of the program run and the store is unavailable", func() {
		l := newReadyLedger(true)
		Expect(decisionOf(l.Reserve(0, 1, testTurn("t1")))).To(Equal(ledger.Allowed))
		Expect(decisionOf(l.Reserve(0, 2, testTurn("t2")))).To(Equal(ledger.Allowed))
		w := l.Reserve(0, 3, testTurn("t3"))[0].(ledger.WriteGrant)
		Expect(l.GrantWritten(0, w, "a", ledger.WriteUnknown, 0)).To(BeEmpty())
		Expect(decisionOf(l.Settle(10, ledger.Settlement{Program: program, AttemptID: "t1", DeliveredTokens: 70}))).To(Equal(ledger.Allowed))
	})

	It("refuses a turn with GrantUnavailable if no other turn runs and the store is unavailable", func() {
		l := newReadyLedger(true)
		Expect(decisionOf(l.Reserve(0, 1, testTurn("t1")))).To(Equal(ledger.Allowed))
		l.Settle(0, ledger.Settlement{Program: program, AttemptID: "t1", DeliveredTokens: 440})
		w := l.Reserve(0, 2, testTurn("t2"))[0].(ledger.WriteGrant)
		Expect(decisionOf(l.GrantWritten(0, w, "a", ledger.WriteUnknown, 0))).To(Equal(ledger.GrantUnavailable))
	})

	// Guards against a turn that is reserved twice when its request is repeated after a lost reply.
	It("allows a repeated request without a second reservation", func() {
		l := newReadyLedger(true)
		l.Reserve(0, 1, testTurn("t1"))
		Expect(decisionOf(l.Reserve(0, 2, testTurn("t1")))).To(Equal(ledger.Allowed))
		l.Settle(0, ledger.Settlement{Program: program, AttemptID: "t1", DeliveredTokens: 50})
		Expect(decisionOf(l.Reserve(0, 3, testTurn("t2")))).To(Equal(ledger.Allowed), "the share has room for one more turn")
	})

	// Guards against a reservation that is never settled because its caller no longer waits.
	It("removes a turn that waits for the store when its caller cancels", func() {
		l := newReadyLedger(false)
		w := l.Reserve(0, 1, testTurn("t1"))[0].(ledger.WriteGrant)
		l.CancelPending(1, program)
		Expect(l.GrantWritten(0, w, "a", ledger.WriteStored, 5)).To(BeEmpty())
	})

	It("returns the cached prompt of the session, and that of the program for a new session", func() {
		l := newReadyLedger(true)
		l.Reserve(0, 1, testTurn("t1"))
		cached := ledger.CachedPrompt{Server: "e1", Tokens: 1200}
		l.Settle(0, ledger.Settlement{Program: program, AttemptID: "t1", SessionID: "s", DeliveredTokens: 10, CachedPrompt: cached})
		child := testTurn("t2")
		child.SessionID = "child"
		Expect(l.Reserve(0, 2, child)).To(ContainElement(ledger.ReserveReply{RequestID: 2, Decision: ledger.Allowed, CachedPrompt: cached}))
	})

	It("deletes the accounts of expired programs", func() {
		l := newReadyLedger(false)
		granted(l, 0, l.Reserve(0, 1, testTurn("t1")), 5)
		l.Settle(0, ledger.Settlement{Program: program, AttemptID: "t1", DeliveredTokens: 10})
		Expect(l.Tick(60_000)).To(BeEmpty())
		Expect(l.HasAccount(program)).To(BeTrue())
		l.Tick(71_000)
		Expect(l.HasAccount(program)).To(BeFalse())
	})
})
