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

func turn(attempt string) ledger.Turn {
	return ledger.Turn{Program: program, Attempt: attempt, Budget: 900, Most: 290, Retention: time.Minute, Session: "s"}
}

func ready() *ledger.Ledger {
	l := ledger.New()
	l.Listed(0, nil, nil)
	return l
}

func verdict(effects []ledger.Effect) ledger.Verdict {
	GinkgoHelper()
	for _, e := range effects {
		if a, ok := e.(ledger.Answer); ok {
			return a.Verdict
		}
	}
	Fail("no answer")
	return 0
}

var _ = Describe("Ledger", func() {
	// Guards against a host that hands out a budget anew after a restart.
	It("refuses turns until the records were read", func() {
		Expect(verdict(ledger.New().Reserve(0, 1, turn("t1"), ledger.Known))).To(Equal(ledger.NotReady))
	})

	It("runs the turns of an ordinary program without the store", func() {
		l := ready()
		for i, attempt := range []string{"t1", "t2", "t3"} {
			effects := l.Reserve(0, uint64(i), turn(attempt), ledger.Known)
			Expect(effects).To(HaveLen(1))
			Expect(verdict(effects)).To(Equal(ledger.Allowed))
			l.Settle(0, ledger.Settlement{Program: program, Attempt: attempt, Session: "s", Tokens: 50})
		}
	})

	// Guards against programs that loop.
	It("refuses a turn that the budget does not hold, and records that", func() {
		l := ready()
		Expect(verdict(l.Reserve(0, 1, turn("t1"), ledger.Known))).To(Equal(ledger.Allowed))
		l.Settle(0, ledger.Settlement{Program: program, Attempt: "t1", Tokens: 700})
		effects := l.Reserve(0, 2, turn("t2"), ledger.Known)
		Expect(verdict(effects)).To(Equal(ledger.Spent))
		Expect(effects).To(ContainElement(BeAssignableToTypeOf(ledger.Write{})))
	})

	// Guards against a program that comes back after all hosts lost their memory.
	It("refuses a program that a record closed", func() {
		l := ledger.New()
		l.Listed(0, map[string]ledger.Record{program: {Granted: 794, Holder: "gone"}}, map[string]uint64{program: 7})
		effects := l.Reserve(0, 1, turn("t1"), ledger.Known)
		Expect(effects).To(Equal([]ledger.Effect{ledger.Recall{Program: program, Holder: "gone"}}))
		Expect(verdict(l.Recalled(0, program))).To(Equal(ledger.Spent))
	})

	// Guards against a wrong 402 when two hosts' views of the first rank differ.
	It("takes the account of a former host instead of counting its grant as spent", func() {
		l := ledger.New()
		l.Listed(0, map[string]ledger.Record{program: {Granted: 700, Holder: "b"}}, map[string]uint64{program: 7})
		l.Reserve(0, 1, turn("t1"), ledger.Known)
		l.Adopt(0, []ledger.Account{{Program: program, Budget: 900, Most: 290, Spent: 100, Limit: 700, Granted: 700}})
		Expect(verdict(l.Recalled(0, program))).To(Equal(ledger.Allowed))
	})

	DescribeTable("a host that may lack memory of the program asks the store first",
		func(trust ledger.Trust, o ledger.Outcome, want ledger.Verdict) {
			l := ready()
			effects := l.Reserve(0, 1, turn("t1"), trust)
			Expect(effects).To(HaveLen(1))
			w, ok := effects[0].(ledger.Write)
			Expect(ok).To(BeTrue())
			Expect(w.Version).To(BeZero())
			Expect(verdict(l.Written(0, program, "a", o, w.Granted, 5))).To(Equal(want))
		},
		Entry("granted", ledger.Doubtful, ledger.Stored, ledger.Allowed),
		Entry("the store is away: the second host may use its share", ledger.Doubtful, ledger.Failed, ledger.Allowed),
		Entry("the store is away: a third host may not", ledger.Foreign, ledger.Failed, ledger.Unavailable),
	)

	// Guards against a program that is stuck when the store goes away soon after its first host died.
	It("takes a share at least when it takes a grant", func() {
		l := ready()
		t := turn("t1")
		t.Budget = 9000
		w := l.Reserve(0, 1, t, ledger.Foreign)[0].(ledger.Write)
		Expect(w.Granted).To(Equal((9000 + 290) / 3))
	})

	// Guards against a program that loops while its first host is killed in an outage of the store: the second host uses
	// its share, and the first one is back, without memory, before it hears of that.
	It("stays within the bound when two shares were used and lost in an outage", func() {
		handed := 0
		spend := func(l *ledger.Ledger, host string, trust ledger.Trust, store ledger.Outcome) {
			for i := range 20 {
				attempt := fmt.Sprintf("%s-%d", host, i)
				t := turn(attempt)
				t.Budget = 9000
				effects := l.Reserve(0, uint64(i), t, trust)
				if w, ok := effects[0].(ledger.Write); ok {
					effects = l.Written(0, program, host, store, w.Granted, uint64(i+1))
				}
				if len(effects) > 0 && verdict(effects) == ledger.Allowed {
					handed += 290
					l.Settle(0, ledger.Settlement{Program: program, Attempt: attempt, Tokens: 290})
				}
			}
		}
		spend(ready(), "first", ledger.Known, ledger.Failed)
		spend(ready(), "second", ledger.Doubtful, ledger.Failed)
		back := ready()
		back.PresumeShares(60_000)
		spend(back, "first again", ledger.Doubtful, ledger.Stored)
		Expect(handed).To(BeNumerically("<=", 9000+290))
	})

	// Guards against refusing helpers that run side by side while the store is away: each counts at its most.
	It("lets a turn wait for the program's other turns while the store gives no grant", func() {
		l := ready()
		Expect(verdict(l.Reserve(0, 1, turn("t1"), ledger.Known))).To(Equal(ledger.Allowed))
		Expect(l.Reserve(0, 2, turn("t2"), ledger.Known)).To(ContainElement(BeAssignableToTypeOf(ledger.Write{})))
		Expect(l.Written(0, program, "a", ledger.Failed, 0, 0)).To(BeEmpty())
		Expect(verdict(l.Settle(10, ledger.Settlement{Program: program, Attempt: "t1", Tokens: 70}))).To(Equal(ledger.Allowed))
	})

	It("refuses a turn for now if nothing runs and the store gives no grant", func() {
		l := ready()
		Expect(verdict(l.Reserve(0, 1, turn("t1"), ledger.Known))).To(Equal(ledger.Allowed))
		l.Settle(0, ledger.Settlement{Program: program, Attempt: "t1", Tokens: 150})
		Expect(l.Reserve(0, 2, turn("t2"), ledger.Known)).To(ContainElement(BeAssignableToTypeOf(ledger.Write{})))
		Expect(verdict(l.Written(0, program, "a", ledger.Failed, 0, 0))).To(Equal(ledger.Unavailable))
	})

	// Guards against a turn that is counted twice when its question is asked again.
	It("answers a repeated question without counting the turn twice", func() {
		l := ready()
		l.Reserve(0, 1, turn("t1"), ledger.Known)
		Expect(verdict(l.Reserve(0, 2, turn("t1"), ledger.Known))).To(Equal(ledger.Allowed))
		l.Settle(0, ledger.Settlement{Program: program, Attempt: "t1", Tokens: 50})
		Expect(verdict(l.Reserve(0, 3, turn("t2"), ledger.Known))).To(Equal(ledger.Allowed), "one more turn fits")
	})

	// Guards against turns that are counted at their most for ever because their asker left.
	It("forgets a turn that waits for the store when its asker leaves", func() {
		l := ready()
		w := l.Reserve(0, 1, turn("t1"), ledger.Foreign)[0].(ledger.Write)
		l.Abandon(1, program)
		Expect(l.Written(0, program, "a", ledger.Stored, w.Granted, 5)).To(BeEmpty())
	})

	It("tells where the session ran last, and where the program did for a new session", func() {
		l := ready()
		l.Reserve(0, 1, turn("t1"), ledger.Known)
		place := ledger.Place{Server: "e1", Tokens: 1200}
		l.Settle(0, ledger.Settlement{Program: program, Attempt: "t1", Session: "s", Tokens: 10, Place: place})
		helper := turn("t2")
		helper.Session = "helper"
		Expect(l.Reserve(0, 2, helper, ledger.Known)).To(ContainElement(ledger.Answer{Ticket: 2, Verdict: ledger.Allowed, Place: place}))
	})

	It("drops accounts and records that outlived their program", func() {
		l := ready()
		w := l.Reserve(0, 1, turn("t1"), ledger.Foreign)[0].(ledger.Write)
		l.Written(0, program, "a", ledger.Stored, w.Granted, 5)
		l.Settle(0, ledger.Settlement{Program: program, Attempt: "t1", Tokens: 10})
		owns := func(string) bool { return true }
		Expect(l.Tick(60_000, owns)).To(BeEmpty())
		Expect(l.Knows(program)).To(BeTrue())
		l.Tick(71_000, owns)
		Expect(l.Knows(program)).To(BeFalse())
	})
})
