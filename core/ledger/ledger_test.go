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
	Fail("no answer")
	return 0
}

var _ = Describe("Ledger", func() {
	// Guards against a host that hands out a budget anew after a restart.
	It("refuses turns until the records were read", func() {
		Expect(decisionOf(ledger.New().Reserve(0, 1, testTurn("t1"), ledger.ShareAllowed))).To(Equal(ledger.NotReady))
	})

	It("runs the turns of an ordinary program without the store", func() {
		l := newReadyLedger()
		for i, attempt := range []string{"t1", "t2", "t3"} {
			effects := l.Reserve(0, uint64(i), testTurn(attempt), ledger.ShareAllowed)
			Expect(effects).To(HaveLen(1))
			Expect(decisionOf(effects)).To(Equal(ledger.Allowed))
			l.Settle(0, ledger.Settlement{Program: program, AttemptID: attempt, SessionID: "s", DeliveredTokens: 50})
		}
	})

	// Guards against programs that loop.
	It("refuses a turn that the budget does not hold, and records that", func() {
		l := newReadyLedger()
		Expect(decisionOf(l.Reserve(0, 1, testTurn("t1"), ledger.ShareAllowed))).To(Equal(ledger.Allowed))
		l.Settle(0, ledger.Settlement{Program: program, AttemptID: "t1", DeliveredTokens: 700})
		effects := l.Reserve(0, 2, testTurn("t2"), ledger.ShareAllowed)
		Expect(decisionOf(effects)).To(Equal(ledger.BudgetExhausted))
		Expect(effects).To(ContainElement(BeAssignableToTypeOf(ledger.WriteGrant{})))
	})

	// Guards against a program that comes back after all hosts lost their memory.
	It("refuses a program that a record closed", func() {
		l := ledger.New()
		l.RecordsListed(0, map[string]ledger.GrantRecord{program: {Granted: 794, Holder: "gone"}}, map[string]uint64{program: 7})
		effects := l.Reserve(0, 1, testTurn("t1"), ledger.ShareAllowed)
		Expect(effects).To(Equal([]ledger.Effect{ledger.RecallAccount{Program: program, Holder: "gone"}}))
		Expect(decisionOf(l.AccountRecalled(0, program))).To(Equal(ledger.BudgetExhausted))
	})

	// Guards against a wrong 402 when two hosts' views of the first rank differ.
	It("takes the account of a former host instead of counting its grant as spent", func() {
		l := ledger.New()
		l.RecordsListed(0, map[string]ledger.GrantRecord{program: {Granted: 700, Holder: "b"}}, map[string]uint64{program: 7})
		l.Reserve(0, 1, testTurn("t1"), ledger.ShareAllowed)
		l.AdoptAccounts(0, []ledger.AccountSnapshot{{Program: program, Budget: 900, MaxTurnTokens: 290, Spent: 100, Limit: 700, Granted: 700}})
		Expect(decisionOf(l.AccountRecalled(0, program))).To(Equal(ledger.Allowed))
	})

	DescribeTable("a host that may lack memory of the program asks the store first",
		func(trust ledger.SharePolicy, o ledger.WriteResult, want ledger.Decision) {
			l := newReadyLedger()
			effects := l.Reserve(0, 1, testTurn("t1"), trust)
			Expect(effects).To(HaveLen(1))
			w, ok := effects[0].(ledger.WriteGrant)
			Expect(ok).To(BeTrue())
			Expect(w.Version).To(BeZero())
			Expect(decisionOf(l.GrantWritten(0, program, "a", o, w.Granted, 5))).To(Equal(want))
		},
		Entry("granted", ledger.ShareIfStoreDown, ledger.WriteStored, ledger.Allowed),
		Entry("the store is away: the second host may use its share", ledger.ShareIfStoreDown, ledger.WriteUnknown, ledger.Allowed),
		Entry("the store is away: a third host may not", ledger.GrantRequired, ledger.WriteUnknown, ledger.GrantUnavailable),
	)

	// Guards against a program that is stuck when the store goes away soon after its first host died.
	It("takes a share at least when it takes a grant", func() {
		l := newReadyLedger()
		t := testTurn("t1")
		t.Budget = 9000
		w := l.Reserve(0, 1, t, ledger.GrantRequired)[0].(ledger.WriteGrant)
		Expect(w.Granted).To(Equal((9000 + 290) / 3))
	})

	// Guards against a program that loops while its first host is killed in an outage of the store: the second host uses
	// its share, and the first one is back, without memory, before it hears of that.
	It("stays within the bound when two shares were used and lost in an outage", func() {
		handed := 0
		spend := func(l *ledger.Ledger, host string, trust ledger.SharePolicy, store ledger.WriteResult) {
			for i := range 20 {
				attempt := fmt.Sprintf("%s-%d", host, i)
				t := testTurn(attempt)
				t.Budget = 9000
				effects := l.Reserve(0, uint64(i), t, trust)
				if w, ok := effects[0].(ledger.WriteGrant); ok {
					effects = l.GrantWritten(0, program, host, store, w.Granted, uint64(i+1))
				}
				if len(effects) > 0 && decisionOf(effects) == ledger.Allowed {
					handed += 290
					l.Settle(0, ledger.Settlement{Program: program, AttemptID: attempt, DeliveredTokens: 290})
				}
			}
		}
		spend(newReadyLedger(), "first", ledger.ShareAllowed, ledger.WriteUnknown)
		spend(newReadyLedger(), "second", ledger.ShareIfStoreDown, ledger.WriteUnknown)
		back := newReadyLedger()
		back.PresumeSharesUsed(60_000)
		spend(back, "first again", ledger.ShareIfStoreDown, ledger.WriteStored)
		Expect(handed).To(BeNumerically("<=", 9000+290))
	})

	// Guards against refusing helpers that run side by side while the store is away: each counts at its most.
	It("lets a turn wait for the program's other turns while the store gives no grant", func() {
		l := newReadyLedger()
		Expect(decisionOf(l.Reserve(0, 1, testTurn("t1"), ledger.ShareAllowed))).To(Equal(ledger.Allowed))
		Expect(l.Reserve(0, 2, testTurn("t2"), ledger.ShareAllowed)).To(ContainElement(BeAssignableToTypeOf(ledger.WriteGrant{})))
		Expect(l.GrantWritten(0, program, "a", ledger.WriteUnknown, 0, 0)).To(BeEmpty())
		Expect(decisionOf(l.Settle(10, ledger.Settlement{Program: program, AttemptID: "t1", DeliveredTokens: 70}))).To(Equal(ledger.Allowed))
	})

	It("refuses a turn for now if nothing runs and the store gives no grant", func() {
		l := newReadyLedger()
		Expect(decisionOf(l.Reserve(0, 1, testTurn("t1"), ledger.ShareAllowed))).To(Equal(ledger.Allowed))
		l.Settle(0, ledger.Settlement{Program: program, AttemptID: "t1", DeliveredTokens: 150})
		Expect(l.Reserve(0, 2, testTurn("t2"), ledger.ShareAllowed)).To(ContainElement(BeAssignableToTypeOf(ledger.WriteGrant{})))
		Expect(decisionOf(l.GrantWritten(0, program, "a", ledger.WriteUnknown, 0, 0))).To(Equal(ledger.GrantUnavailable))
	})

	// Guards against a turn that is counted twice when its question is asked again.
	It("answers a repeated question without counting the turn twice", func() {
		l := newReadyLedger()
		l.Reserve(0, 1, testTurn("t1"), ledger.ShareAllowed)
		Expect(decisionOf(l.Reserve(0, 2, testTurn("t1"), ledger.ShareAllowed))).To(Equal(ledger.Allowed))
		l.Settle(0, ledger.Settlement{Program: program, AttemptID: "t1", DeliveredTokens: 50})
		Expect(decisionOf(l.Reserve(0, 3, testTurn("t2"), ledger.ShareAllowed))).To(Equal(ledger.Allowed), "one more turn fits")
	})

	// Guards against turns that are counted at their most for ever because their asker left.
	It("forgets a turn that waits for the store when its asker leaves", func() {
		l := newReadyLedger()
		w := l.Reserve(0, 1, testTurn("t1"), ledger.GrantRequired)[0].(ledger.WriteGrant)
		l.CancelPending(1, program)
		Expect(l.GrantWritten(0, program, "a", ledger.WriteStored, w.Granted, 5)).To(BeEmpty())
	})

	It("tells where the session ran last, and where the program did for a new session", func() {
		l := newReadyLedger()
		l.Reserve(0, 1, testTurn("t1"), ledger.ShareAllowed)
		place := ledger.CachedPrompt{Server: "e1", Tokens: 1200}
		l.Settle(0, ledger.Settlement{Program: program, AttemptID: "t1", SessionID: "s", DeliveredTokens: 10, CachedPrompt: place})
		helper := testTurn("t2")
		helper.SessionID = "helper"
		Expect(l.Reserve(0, 2, helper, ledger.ShareAllowed)).To(ContainElement(ledger.ReserveReply{RequestID: 2, Decision: ledger.Allowed, CachedPrompt: place}))
	})

	It("drops accounts and records that outlived their program", func() {
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
