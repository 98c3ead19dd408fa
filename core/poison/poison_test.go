package poison_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hyssopreel/hyssopreel/core/poison"
)

var start = time.Unix(1000, 0)

func fingerprint(n byte) poison.Fingerprint { return poison.Fingerprint{n} }

func end(server string, began bool) poison.End {
	return poison.End{Lifetime: poison.Lifetime{Server: server}, Began: began}
}

func verdict(table *poison.Table, now time.Time, chain poison.Chain) poison.Verdict {
	v, _ := table.Verdict(now, chain)
	return v
}

// Guards against the BUDGET incident: a request that ended servers was treated as the first of its kind each time.
func TestRequestThatEndsServersAsTheyBeginIsQuarantined(t *testing.T) {
	g := NewWithT(t)
	table := poison.NewTable()
	chain := poison.Chain{fingerprint(1)}
	g.Expect(table.RecordEnd(start, chain, 7, end("a", true))).To(BeTrue())
	g.Expect(table.RecordEnd(start, chain, 7, end("a", true))).To(BeFalse(), "the same end")
	g.Expect(verdict(table, start, chain)).To(Equal(poison.Suspect))
	table.RecordEnd(start, chain, 7, end("b", true))
	g.Expect(verdict(table, start, chain)).To(Equal(poison.Quarantined))
	g.Expect(verdict(table, start, poison.Chain{fingerprint(2)})).To(Equal(poison.Innocent))
	g.Expect(table.MayContain(7)).To(BeTrue())
	g.Expect(table.MayContain(8)).To(BeFalse())
}

// Guards against bystanders that are refused because they waited or ran at servers that another request ended.
func TestBystandersOfAFewEndsAreInnocent(t *testing.T) {
	g := NewWithT(t)
	table := poison.NewTable()
	chain := poison.Chain{fingerprint(1)}
	for i := range 4 {
		table.RecordEnd(start, chain, 7, end(fmt.Sprint(i), false))
		g.Expect(verdict(table, start, chain)).NotTo(Equal(poison.Quarantined))
	}
	g.Expect(table.RecordSuccess(start, start.Add(time.Millisecond), chain)).To(BeTrue())
	g.Expect(verdict(table, start, chain)).To(Equal(poison.Innocent), "it has run to its end since")
	g.Expect(table.RecordSuccess(start, start.Add(time.Millisecond), chain)).To(BeFalse(), "the same ends")
	for i := range 4 {
		table.RecordEnd(start, chain, 7, end(fmt.Sprint("later", i), false))
		g.Expect(verdict(table, start, chain)).NotTo(Equal(poison.Quarantined), "ends from before count no more")
	}
}

// Guards against a request that is never refused again once it has run to its end, although it ends servers afterwards.
func TestSuccessClearsOnlyEndsBeforeIt(t *testing.T) {
	g := NewWithT(t)
	table := poison.NewTable()
	chain := poison.Chain{fingerprint(1)}
	table.RecordEnd(start, chain, 7, end("a", true))
	g.Expect(table.RecordSuccess(start.Add(time.Second), start, chain)).To(BeFalse(), "it was sent before the server ended")
	g.Expect(verdict(table, start, chain)).To(Equal(poison.Suspect))
	g.Expect(table.RecordSuccess(start.Add(2*time.Second), start.Add(time.Second), chain)).To(BeTrue())
	g.Expect(verdict(table, start, chain)).To(Equal(poison.Innocent))
	table.RecordEnd(start.Add(3*time.Second), chain, 7, end("b", true))
	g.Expect(verdict(table, start, chain)).To(Equal(poison.Suspect))
	table.RecordEnd(start.Add(3*time.Second), chain, 7, end("c", true))
	g.Expect(verdict(table, start, chain)).To(Equal(poison.Quarantined))
}

// Guards against a request that has run to its end after so many ends of servers that its record has no room for another
// one, and that is never refused.
func TestClearedEndsMakeRoomForLaterOnes(t *testing.T) {
	g := NewWithT(t)
	table := poison.NewTable()
	chain := poison.Chain{fingerprint(1)}
	for i := range 40 {
		at := start.Add(time.Duration(i) * time.Second)
		table.RecordEnd(at, chain, 7, end(fmt.Sprint(i), false))
		table.RecordSuccess(at, at.Add(time.Millisecond), chain)
	}
	now := start.Add(time.Minute)
	table.RecordEnd(now, chain, 7, end("x", true))
	table.RecordEnd(now, chain, 7, end("0", true))
	g.Expect(verdict(table, now, chain)).To(Equal(poison.Quarantined))
	g.Expect(len(table.Records(now, time.Hour, 1)[0].Ends)).To(BeNumerically("<=", 16))
}

// Guards against a verdict that comes back: the record of its end is forgotten before the copies of the verdict that other
// hosts have.
func TestClearedVerdictIsKeptAsLongAsTheVerdict(t *testing.T) {
	g := NewWithT(t)
	a, b := poison.NewTable(), poison.NewTable()
	chain := poison.Chain{fingerprint(1)}
	for _, server := range []string{"a", "b"} {
		a.RecordEnd(start, chain, 7, end(server, true))
	}
	b.Merge(start, a.Records(start, time.Hour, 10))
	a.RecordSuccess(start, start.Add(time.Millisecond), chain)
	later := start.Add(9 * time.Minute)
	g.Expect(verdict(b, later, chain)).To(Equal(poison.Quarantined))
	a.Merge(later, b.Records(later, time.Hour, 10))
	g.Expect(verdict(a, later, chain)).To(Equal(poison.Innocent))
}

// Guards against the next turn of a program, or a copy of it with more text, that ends servers as the turn before did.
func TestPrefixIsQuarantinedOnceDifferentRequestsEndServers(t *testing.T) {
	g := NewWithT(t)
	table := poison.NewTable()
	prefix := fingerprint(1)
	first, second, third := poison.Chain{prefix, fingerprint(2)}, poison.Chain{prefix, fingerprint(3)}, poison.Chain{prefix, fingerprint(4)}
	table.RecordEnd(start, first, 7, end("a", true))
	table.RecordEnd(start, first, 7, end("b", true))
	table.RecordEnd(start, first, 7, end("c", true))
	g.Expect(verdict(table, start, first)).To(Equal(poison.Quarantined))
	g.Expect(verdict(table, start, third)).To(Equal(poison.Innocent), "one request says nothing of its prefix")
	table.RecordEnd(start, second, 7, end("d", true))
	g.Expect(verdict(table, start, third)).To(Equal(poison.Quarantined))
}

// Guards against a common prefix, such as a system prompt, for which all its requests are refused.
func TestPrefixThatSucceedsIsInnocent(t *testing.T) {
	g := NewWithT(t)
	table := poison.NewTable()
	prefix := fingerprint(1)
	deadly, other := poison.Chain{prefix, fingerprint(2)}, poison.Chain{prefix, fingerprint(3)}
	for i := range 3 {
		table.RecordEnd(start, deadly, 7, end(fmt.Sprint("a", i), true))
		table.RecordEnd(start, poison.Chain{prefix, fingerprint(9)}, 7, end(fmt.Sprint("b", i), true))
	}
	g.Expect(verdict(table, start, other)).To(Equal(poison.Quarantined))
	table.RecordSuccess(start, start.Add(time.Millisecond), other)
	g.Expect(verdict(table, start, other)).To(Equal(poison.Innocent))
	g.Expect(verdict(table, start, deadly)).To(Equal(poison.Quarantined))
}

// observed returns the end of a server that had begun to run a request when the request had been sent ran before.
func observed(server, observer string, ran time.Duration) poison.End {
	return poison.End{Lifetime: poison.Lifetime{Server: server}, Observer: observer, Ran: ran, Began: true}
}

// Guards against requests that are refused because they ran at several servers that ended together, such as those of a rack.
func TestServersThatEndTogetherCountOnce(t *testing.T) {
	g := NewWithT(t)
	table := poison.NewTable()
	prefix := fingerprint(1)
	first, second, third := poison.Chain{prefix, fingerprint(2)}, poison.Chain{prefix, fingerprint(3)}, poison.Chain{prefix, fingerprint(4)}
	common := poison.Chain{fingerprint(9)}
	for i, chain := range []poison.Chain{first, second, third} {
		server, observer := fmt.Sprint(i), fmt.Sprint("host-", i)
		now := start.Add(time.Duration(i) * 100 * time.Millisecond) // the observers' delays differ
		table.RecordEnd(now, chain, 7, observed(server, observer, 20*time.Millisecond))
		table.RecordEnd(now, common, 7, observed(server, observer, 20*time.Millisecond))
	}
	now := start.Add(time.Second)
	g.Expect(verdict(table, now, poison.Chain{prefix, fingerprint(5)})).To(Equal(poison.Suspect))
	g.Expect(verdict(table, now, common)).To(Equal(poison.Suspect))
	table.RecordEnd(now, common, 7, observed("later", "host-0", 100*time.Millisecond))
	g.Expect(verdict(table, now, common)).To(Equal(poison.Quarantined), "another moment")
}

// Guards against a request that ends one server after the other, within milliseconds, and counts as a bystander of one event.
func TestServersThatEndInTurnCountEach(t *testing.T) {
	g := NewWithT(t)
	table, other := poison.NewTable(), poison.NewTable()
	chain := poison.Chain{fingerprint(1)}
	table.RecordEnd(start, chain, 7, observed("a", "host", 20*time.Millisecond))
	now := start.Add(30 * time.Millisecond)
	table.RecordEnd(now, chain, 7, observed("b", "host", 25*time.Millisecond))
	g.Expect(verdict(table, now, chain)).To(Equal(poison.Quarantined))
	other.Merge(now, table.Records(now, time.Hour, 10))
	g.Expect(verdict(other, now, chain)).To(Equal(poison.Quarantined))
}

// Guards against turns that are taken for each other because their inputs are equal, and against an input that ends servers
// whatever turn it continues.
func TestContinuedTurnsDifferByTheTurnBefore(t *testing.T) {
	g := NewWithT(t)
	chain := func(previous, input string) poison.Chain {
		return poison.NewChain([]string{"route"}, []byte(input)).Continue(previous)
	}
	g.Expect(chain("a", "yes")).To(Equal(chain("a", "yes")))
	g.Expect(chain("a", "yes")).NotTo(Equal(chain("b", "yes")))
	g.Expect(chain("", "yes")).NotTo(Equal(chain("a", "yes")))
	for _, input := range []string{"yes", strings.Repeat("x", 600)} {
		table := poison.NewTable()
		for i, previous := range []string{"a", "b", ""} {
			g.Expect(verdict(table, start, chain("d", input))).NotTo(Equal(poison.Quarantined))
			table.RecordEnd(start, chain(previous, input), 7, end(fmt.Sprint(i), true))
		}
		g.Expect(verdict(table, start, chain("d", input))).To(Equal(poison.Quarantined))
		g.Expect(verdict(table, start, chain("d", input+"y"))).To(Equal(poison.Innocent), "another input")
		table.RecordSuccess(start, start.Add(time.Millisecond), chain("e", input))
		g.Expect(verdict(table, start, chain("d", input))).To(Equal(poison.Innocent), "it has run to its end after another turn")
	}
}

// Guards against a request that ends servers without bound because it pauses until the ends before are forgotten.
func TestPausesHideNoRequestThatEndsServers(t *testing.T) {
	for name, c := range map[string]struct {
		began bool
		pause time.Duration
	}{
		"after the first event, a minute": {pause: 62 * time.Second},
		"after the first event, an hour":  {pause: time.Hour},
		"as it begins, eleven minutes":    {began: true, pause: 11 * time.Minute},
		"as it begins, an hour":           {began: true, pause: time.Hour},
	} {
		g := NewWithT(t)
		table := poison.NewTable()
		chain := poison.Chain{fingerprint(1)}
		now := start
		ends := 0
		for n := 0; now.Before(start.Add(20 * time.Hour)); n++ {
			if verdict(table, now, chain) != poison.Quarantined {
				table.RecordEnd(now, chain, 7, poison.End{Lifetime: poison.Lifetime{Server: fmt.Sprint(n)}, Ran: time.Second, Began: c.began})
				ends++
			}
			now = now.Add(c.pause)
		}
		g.Expect(ends).To(BeNumerically("<=", 3+3), name+": the third end and three retries")
	}
}

// Guards against verdicts that last forever and against a table that grows without bound.
func TestRecordsExpireAndAreBounded(t *testing.T) {
	g := NewWithT(t)
	table := poison.NewTable()
	deadly := poison.Chain{{0xff}}
	table.RecordEnd(start, deadly, 1, end("a", true))
	table.RecordEnd(start, deadly, 1, end("b", true))
	for i := range 10000 {
		table.RecordEnd(start.Add(time.Second), poison.Chain{{byte(i), byte(i >> 8), 1}}, 2, end("c", false))
	}
	g.Expect(len(table.Records(start.Add(time.Second), time.Hour, 1<<20))).To(BeNumerically("<=", 4096))
	g.Expect(verdict(table, start.Add(5*time.Minute), deadly)).To(Equal(poison.Quarantined))
	g.Expect(verdict(table, start.Add(9*time.Minute), deadly)).To(Equal(poison.Quarantined))
	g.Expect(verdict(table, start.Add(11*time.Minute), deadly)).To(Equal(poison.Suspect), "also if it is seen all the time")
	g.Expect(table.Digest(start.Add(11 * time.Minute))).To(BeZero())
	g.Expect(verdict(table, start.Add(25*time.Hour), deadly)).To(Equal(poison.Innocent))
	table.Expire(start.Add(25 * time.Hour))
	g.Expect(table.MayContain(1) || table.MayContain(2)).To(BeFalse())
}

// Guards against hosts that disagree for good because records arrive in another order, twice, or late.
func TestMergedTablesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts = 4
		tables := make([]*poison.Table, hosts)
		for i := range tables {
			tables[i] = poison.NewTable()
		}
		chains := []poison.Chain{{{1}, {11}}, {{1}, {12}}, {{2}}}
		for range rapid.IntRange(0, 30).Draw(t, "events") {
			table := tables[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			chain := chains[rapid.IntRange(0, len(chains)-1).Draw(t, "chain")]
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				table.RecordSuccess(start, start.Add(time.Millisecond), chain)
			case 1, 2:
				from := tables[rapid.IntRange(0, hosts-1).Draw(t, "from")]
				table.Merge(start, from.Records(start, time.Hour, 100))
			default:
				table.RecordEnd(start, chain, 7, end(fmt.Sprint(rapid.IntRange(0, 7).Draw(t, "server")), rapid.Bool().Draw(t, "began")))
			}
		}
		for range 2 {
			for _, to := range tables {
				for _, from := range tables {
					to.Merge(start, from.Records(start, time.Hour, 100))
				}
			}
		}
		for _, table := range tables[1:] {
			if table.Digest(start) != tables[0].Digest(start) {
				t.Fatalf("digests differ")
			}
			for _, chain := range chains {
				a, b := verdict(tables[0], start, chain), verdict(table, start, chain)
				if a != b {
					t.Fatalf("verdicts %v and %v", a, b)
				}
			}
		}
	})
}

// Guards against a request that is not recognized because its body arrived in other pieces.
func TestFingerprintsDoNotDependOnThePiecesOfABody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 0, 5000).Draw(t, "body")
		var pieces [][]byte
		for rest := body; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			pieces = append(pieces, rest[:n])
			rest = rest[n:]
		}
		NewWithT(t).Expect(poison.NewChain([]string{"a"}, pieces...)).To(Equal(poison.NewChain([]string{"a"}, body)))
	})
}
