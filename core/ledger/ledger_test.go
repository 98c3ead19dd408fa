package ledger_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/core/ledger"
)

func TestLedger(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ledger")
}

func testTurn(attempt string) ledger.Turn {
	return ledger.Turn{Program: program, AttemptID: attempt, Budget: 900, MaxTokens: 290, Retention: time.Minute, SessionID: "s"}
}

func newReadyLedger() *ledger.Ledger {
	l := ledger.New()
	l.RecordsListed(0, nil, nil)
	return l
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
		Expect(decisionOf(ledger.New().Reserve(0, 1, testTurn("t1"), ledger.ShareAllowed))).To(Equal(ledger.NotReady))
	})

	It("allows the turns of a program within its share without a write to the store", func() {
		l := newReadyLedger()
		for i, attempt := range []string{"t1", "t2", "t3"} {
			effects := l.Reserve(0, uint64(i), testTurn(attempt), ledger.ShareAllowed)
			Expect(effects).To(HaveLen(1))
			Expect(decisionOf(effects)).To(Equal(ledger.Allowed))
			l.Settle(0, ledger.Settlement{Program: program, AttemptID: attempt, SessionID: "s", DeliveredTokens: 50})
		}
	})

	// Guards against a program that loops and generates tokens without end.
	It("refuses a turn that exceeds the budget, and records that", func() {
		l := newReadyLedger()
		Expect(decisionOf(l.Reserve(0, 1, testTurn("t1"), ledger.ShareAllowed))).To(Equal(ledger.Allowed))
		l.Settle(0, ledger.Settlement{Program: program, AttemptID: "t1", DeliveredTokens: 700})
		effects := l.Reserve(0, 2, testTurn("t2"), ledger.ShareAllowed)
		Expect(decisionOf(effects)).To(Equal(ledger.BudgetExhausted))
		Expect(effects).To(ContainElement(BeAssignableToTypeOf(ledger.WriteGrant{})))
	})

	// Guards against an exhausted program that is allowed again once all hosts have restarted and lost its account.
	It("refuses a program whose record says that it is exhausted", func() {
		l := ledger.New()
		l.RecordsListed(0, map[string]ledger.GrantRecord{program: {Granted: 794, Holder: "stopped"}}, map[string]uint64{program: 7})
		effects := l.Reserve(0, 1, testTurn("t1"), ledger.ShareAllowed)
		Expect(effects).To(Equal([]ledger.Effect{ledger.RecallAccount{Program: program, Holder: "stopped"}}))
		Expect(decisionOf(l.AccountRecalled(0, program))).To(Equal(ledger.BudgetExhausted))
	})

	// Guards against a wrong status 402 when two hosts disagree about the first host of the rendezvous order.
	It("adopts the account of the grant's holder instead of counting the whole grant as spent", func() {
		l := ledger.New()
		l.RecordsListed(0, map[string]ledger.GrantRecord{program: {Granted: 700, Holder: "b"}}, map[string]uint64{program: 7})
		l.Reserve(0, 1, testTurn("t1"), ledger.ShareAllowed)
		l.AdoptAccounts(0, []ledger.AccountSnapshot{{Program: program, Budget: 900, MaxTurnTokens: 290, Spent: 100, Limit: 700, Granted: 700}})
		Expect(decisionOf(l.AccountRecalled(0, program))).To(Equal(ledger.Allowed))
	})

	DescribeTable("a host that may have lost the program's account requests a grant first",
		func(policy ledger.SharePolicy, result ledger.WriteResult, want ledger.Decision) {
			l := newReadyLedger()
			effects := l.Reserve(0, 1, testTurn("t1"), policy)
			Expect(effects).To(HaveLen(1))
			w, ok := effects[0].(ledger.WriteGrant)
			Expect(ok).To(BeTrue())
			Expect(w.Version).To(BeZero())
			Expect(decisionOf(l.GrantWritten(0, program, "a", result, w.Granted, 5))).To(Equal(want))
		},
		Entry("granted", ledger.ShareIfStoreDown, ledger.WriteStored, ledger.Allowed),
		Entry("store unavailable: the second host may use its share", ledger.ShareIfStoreDown, ledger.WriteUnknown, ledger.Allowed),
		Entry("store unavailable: a third host may not", ledger.GrantRequired, ledger.WriteUnknown, ledger.GrantUnavailable),
	)

	// Guards against a program that can't go on when an outage of the store follows soon after the crash of its first
	// host.
	It("requests a grant of at least the share", func() {
		l := newReadyLedger()
		t := testTurn("t1")
		t.Budget = 9000
		w := l.Reserve(0, 1, t, ledger.GrantRequired)[0].(ledger.WriteGrant)
		Expect(w.Granted).To(Equal((9000 + 290) / 3))
	})

	// Guards against a program that loops while its first host crashes in an outage of the store: the second host
	// uses its share, and the first one restarts without the account and without a record of either share.
	It("stays within the budget and one turn when two shares were used and lost in an outage", func() {
		delivered := 0
		useTurns := func(l *ledger.Ledger, host string, policy ledger.SharePolicy, result ledger.WriteResult) {
			for i := range 20 {
				attempt := fmt.Sprintf("%s-%d", host, i)
				t := testTurn(attempt)
				t.Budget = 9000
				effects := l.Reserve(0, uint64(i), t, policy)
				if w, ok := effects[0].(ledger.WriteGrant); ok {
					effects = l.GrantWritten(0, program, host, result, w.Granted, uint64(i+1))
				}
				if len(effects) > 0 && decisionOf(effects) == ledger.Allowed {
					delivered += 290
					l.Settle(0, ledger.Settlement{Program: program, AttemptID: attempt, DeliveredTokens: 290})
				}
			}
		}
		useTurns(newReadyLedger(), "first", ledger.ShareAllowed, ledger.WriteUnknown)
		useTurns(newReadyLedger(), "second", ledger.ShareIfStoreDown, ledger.WriteUnknown)
		restarted := newReadyLedger()
		restarted.PresumeSharesUsed(60_000)
		useTurns(restarted, "first again", ledger.ShareIfStoreDown, ledger.WriteStored)
		Expect(delivered).To(BeNumerically("<=", 9000+290))
	})

	// Guards against refusing concurrent child programs during an outage of the store: each running turn counts with
	// its max tokens, most of which become free when it ends.
	It("keeps a turn pending while other turns of the program run and the store is unavailable", func() {
		l := newReadyLedger()
		Expect(decisionOf(l.Reserve(0, 1, testTurn("t1"), ledger.ShareAllowed))).To(Equal(ledger.Allowed))
		Expect(l.Reserve(0, 2, testTurn("t2"), ledger.ShareAllowed)).To(ContainElement(BeAssignableToTypeOf(ledger.WriteGrant{})))
		Expect(l.GrantWritten(0, program, "a", ledger.WriteUnknown, 0, 0)).To(BeEmpty())
		Expect(decisionOf(l.Settle(10, ledger.Settlement{Program: program, AttemptID: "t1", DeliveredTokens: 70}))).To(Equal(ledger.Allowed))
	})

	It("refuses a turn with GrantUnavailable if no other turn runs and the store is unavailable", func() {
		l := newReadyLedger()
		Expect(decisionOf(l.Reserve(0, 1, testTurn("t1"), ledger.ShareAllowed))).To(Equal(ledger.Allowed))
		l.Settle(0, ledger.Settlement{Program: program, AttemptID: "t1", DeliveredTokens: 150})
		Expect(l.Reserve(0, 2, testTurn("t2"), ledger.ShareAllowed)).To(ContainElement(BeAssignableToTypeOf(ledger.WriteGrant{})))
		Expect(decisionOf(l.GrantWritten(0, program, "a", ledger.WriteUnknown, 0, 0))).To(Equal(ledger.GrantUnavailable))
	})

	// Guards against a turn that is reserved twice when its request is repeated after a lost reply.
	It("allows a repeated request without a second reservation", func() {
		l := newReadyLedger()
		l.Reserve(0, 1, testTurn("t1"), ledger.ShareAllowed)
		Expect(decisionOf(l.Reserve(0, 2, testTurn("t1"), ledger.ShareAllowed))).To(Equal(ledger.Allowed))
		l.Settle(0, ledger.Settlement{Program: program, AttemptID: "t1", DeliveredTokens: 50})
		Expect(decisionOf(l.Reserve(0, 3, testTurn("t2"), ledger.ShareAllowed))).To(Equal(ledger.Allowed), "the share has room for one more turn")
	})

	// Guards against a reservation that is never settled because its caller no longer waits.
	It("removes a turn that waits for the store when its caller cancels", func() {
		l := newReadyLedger()
		w := l.Reserve(0, 1, testTurn("t1"), ledger.GrantRequired)[0].(ledger.WriteGrant)
		l.CancelPending(1, program)
		Expect(l.GrantWritten(0, program, "a", ledger.WriteStored, w.Granted, 5)).To(BeEmpty())
	})

	It("returns the cached prompt of the session, and that of the program for a new session", func() {
		l := newReadyLedger()
		l.Reserve(0, 1, testTurn("t1"), ledger.ShareAllowed)
		cached := ledger.CachedPrompt{Server: "e1", Tokens: 1200}
		l.Settle(0, ledger.Settlement{Program: program, AttemptID: "t1", SessionID: "s", DeliveredTokens: 10, CachedPrompt: cached})
		child := testTurn("t2")
		child.SessionID = "child"
		Expect(l.Reserve(0, 2, child, ledger.ShareAllowed)).To(ContainElement(ledger.ReserveReply{RequestID: 2, Decision: ledger.Allowed, CachedPrompt: cached}))
	})

	It("deletes the accounts of expired programs", func() {
		l := newReadyLedger()
		w := l.Reserve(0, 1, testTurn("t1"), ledger.GrantRequired)[0].(ledger.WriteGrant)
		l.GrantWritten(0, program, "a", ledger.WriteStored, w.Granted, 5)
		l.Settle(0, ledger.Settlement{Program: program, AttemptID: "t1", DeliveredTokens: 10})
		owns := func(string) bool { return true }
		Expect(l.Tick(60_000, owns)).To(BeEmpty())
		Expect(l.HasAccount(program)).To(BeTrue())
		l.Tick(71_000, owns)
		Expect(l.HasAccount(program)).To(BeFalse())
	})
})
