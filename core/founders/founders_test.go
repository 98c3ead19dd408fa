package founders_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/core/fleet"
	"github.com/hyssopreel/hyssopreel/core/founders"
)

const retention = time.Minute

func seconds(s float64) clock.Millis { return clock.Millis(s * 1000) }

// horizon is that of the programs of the tests.
var horizon = founders.Horizon(retention)

// candidates returns hosts by name, with the incarnation 1 or the one after a dot.
func candidates(names ...string) []founders.Candidate {
	var out []founders.Candidate
	for _, name := range names {
		c := founders.Candidate{Name: name[:1], Incarnation: "1", Settled: true}
		if len(name) > 1 {
			c.Incarnation = name[2:]
		}
		out = append(out, c)
	}
	return out
}

// programOf returns a program of which the host comes first, and the second one without it.
func programOf(first, second string) string {
	hosts := []fleet.Host{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	for i := 0; ; i++ {
		program := fmt.Sprint("p", i)
		if order := fleet.RendezvousOrder(hosts, program); order[0].Name == first && order[1].Name == second {
			return program
		}
	}
}

// next writes a generation of these hosts as seen by a state, and returns the object.
func next(g *WithT, s *founders.State, at clock.Millis, names ...string) founders.Object {
	o, _, ok := s.Propose(at, candidates(names...))
	g.Expect(ok).To(BeTrue())
	g.Expect(o.Validate()).To(BeTrue())
	return o
}

// Guards against two hosts that use the share of a program: the right ends with the validity of a host's knowledge, at
// once if a peer knows a later generation, and belongs to one incarnation.
func TestFounderKnowsThatItsGenerationIsTheNewest(t *testing.T) {
	g := NewWithT(t)
	a, again, b := founders.New("a", "1"), founders.New("a", "2"), founders.New("b", "1")
	o := next(g, a, 0, "a", "b", "c")
	program := programOf("a", "b")
	for _, s := range []*founders.State{a, again, b} {
		g.Expect(s.IsFounder(0, program, retention, 0)).To(BeFalse(), "nothing was read")
		s.Read(0, 1, o, 1)
	}
	g.Expect(a.IsFounder(seconds(29.9), program, retention, 0)).To(BeTrue())
	g.Expect(a.IsFounder(seconds(30), program, retention, 0)).To(BeFalse())
	g.Expect(again.IsFounder(1, program, retention, 0)).To(BeFalse())
	g.Expect(b.IsFounder(1, program, retention, 0)).To(BeFalse())

	a.Confirm(1, seconds(10))
	a.Confirm(1, seconds(5)) // a late answer takes nothing back
	g.Expect(a.IsFounder(seconds(39.9), program, retention, 0)).To(BeTrue())
	g.Expect(a.IsFounder(seconds(40), program, retention, 0)).To(BeFalse())
	a.Confirm(1, seconds(40))
	a.Report(2)
	g.Expect(a.IsFounder(seconds(40), program, retention, 0)).To(BeFalse())
	a.Confirm(2, seconds(41)) // of a generation that it has not read
	g.Expect(a.IsFounder(seconds(41), program, retention, 0)).To(BeFalse())
}

// Guards against a new founder that uses the share while the former one may use it, or before it knows of the records that
// were made since.
func TestNewFounderWaitsForTheHorizonAndListsTheRecords(t *testing.T) {
	g := NewWithT(t)
	a, b := founders.New("a", "1"), founders.New("b", "1")
	first := next(g, a, 0, "a", "b", "c")
	a.Read(0, 0, first, 1)
	b.Read(0, 0, first, 1)
	a.Propose(seconds(50), candidates("b", "c")) // a has been absent since
	second := next(g, a, seconds(60), "b", "c")
	program, others := programOf("a", "b"), programOf("b", "a")
	b.Read(seconds(60), seconds(70), second, 2) // a late answer: the first generation ended by then
	entitled := seconds(70).Add(horizon)
	g.Expect(b.IsFounder(seconds(71), others, retention, 0)).To(BeTrue(), "it was the founder before")
	g.Expect(b.IsFounder(seconds(71), program, retention, seconds(71))).To(BeFalse())
	g.Expect(b.NeedsList(seconds(71), retention, 0)).To(BeFalse())
	b.Confirm(2, entitled-1)
	g.Expect(b.IsFounder(entitled-1, program, retention, entitled-1)).To(BeFalse())
	g.Expect(b.IsFounder(entitled, program, retention, entitled-1)).To(BeFalse(), "the list began too early")
	g.Expect(b.NeedsList(entitled, retention, entitled-1)).To(BeTrue())
	g.Expect(b.IsFounder(entitled, program, retention, entitled)).To(BeTrue())
	g.Expect(b.NeedsList(entitled, retention, entitled)).To(BeFalse())
	g.Expect(b.IsFounder(entitled, program, 2*retention, entitled)).To(BeFalse(), "such programs last longer")
	late := seconds(5000)
	b.Confirm(2, late)
	g.Expect(b.IsFounder(late, program, 2*retention, late)).To(BeTrue())
	g.Expect(b.IsFounder(late, program, 10*time.Minute, late)).To(BeFalse(), "the object does not reach back so far")
}

// Guards against a host that reads an object for the first time and does not know when the earlier generations ended, or
// takes the time since the write for less than none.
func TestAgesOfGenerationsArePassedOn(t *testing.T) {
	g := NewWithT(t)
	a := founders.New("a", "1")
	o := next(g, a, 0, "a", "b", "c")
	a.Read(0, 0, o, 1)
	a.Read(seconds(10), seconds(10), next(g, a, seconds(10), "a", "b.2", "c"), 2)
	o = next(g, a, seconds(100), "a", "b.2", "c.2")
	g.Expect(o.Ended).To(Equal([]founders.Ended{{Generation: 1, AgoMS: 90_000}, {Generation: 2}}))

	b := founders.New("b", "2")
	b.Read(seconds(5000), seconds(5000), o, 3)
	program := programOf("b", "c")
	entitled := seconds(5000 - 90).Add(horizon)
	b.Confirm(3, entitled-1)
	g.Expect(b.IsFounder(entitled-1, program, retention, entitled)).To(BeFalse())
	g.Expect(b.IsFounder(entitled, program, retention, entitled)).To(BeTrue())
}

// Guards against a generation that is forgotten when the object no longer has it: a host that was away must still list the
// records, and one that founded all its programs must not wait.
func TestDroppedGenerationsCountUntilTheRecordsAreListed(t *testing.T) {
	g := NewWithT(t)
	a, b, c := founders.New("a", "1"), founders.New("b", "1"), founders.New("c", "1")
	o := next(g, a, 0, "a", "b", "c")
	for _, s := range []*founders.State{a, b, c} {
		s.Read(0, 0, o, 1)
	}
	o = next(g, a, seconds(10), "a", "b", "c.2")
	a.Read(seconds(10), seconds(10), o, 2)
	b.Read(seconds(10), seconds(10), o, 2)
	late := seconds(1000)
	o = next(g, a, late, "a", "b", "c.3")
	g.Expect(o.Ended).To(HaveLen(1), "generation 1 was dropped")
	for _, m := range o.Members {
		g.Expect(m).NotTo(Equal(founders.Member{Name: "c", Incarnation: "1", Since: 1, Until: 2}))
	}
	a.Read(late, late, o, 3)
	listed := seconds(10).Add(horizon)
	g.Expect(a.IsFounder(late, programOf("a", "b"), retention, listed)).To(BeTrue(), "listed after the horizon of generation 1")
	g.Expect(a.IsFounder(late, programOf("a", "b"), retention, listed-1)).To(BeFalse())

	back := founders.New("b", "1")
	back.Read(late, late, o, 3)
	g.Expect(back.IsFounder(late, programOf("b", "a"), retention, 0)).To(BeFalse())
	g.Expect(back.IsFounder(late, programOf("b", "a"), retention, late)).To(BeTrue())
}

// Guards against a store that has lost the object, or has an earlier one: the generations must not be counted again from
// the first, which has no predecessor.
func TestLostObjectIsContinued(t *testing.T) {
	g := NewWithT(t)
	a := founders.New("a", "1")
	o := next(g, a, 0, "a", "b")
	a.Read(0, 0, o, 1)
	a.Read(seconds(10), seconds(10), next(g, a, seconds(10), "a", "b.2"), 2)
	program := programOf("a", "b")
	g.Expect(a.IsFounder(seconds(10), program, retention, 0)).To(BeTrue())
	a.Read(seconds(11), seconds(11), o, 3)
	g.Expect(a.IsFounder(seconds(11), program, retention, 0)).To(BeFalse())
	a.Confirm(2, seconds(11))
	g.Expect(a.IsFounder(seconds(11), program, retention, 0)).To(BeFalse())
	next, expected, ok := a.Propose(seconds(11), candidates("a", "b.2"))
	g.Expect(ok).To(BeTrue())
	g.Expect(next.Generation).To(Equal(uint64(3)))
	g.Expect(expected).To(Equal(uint64(3)))
	a.Missing()
	_, expected, ok = a.Propose(seconds(11), candidates("a", "b.2"))
	g.Expect(ok).To(BeTrue())
	g.Expect(expected).To(BeZero())
}

// Guards against generations that are written without need: each makes programs wait for a grant for minutes.
func TestGenerationsAreWrittenSeldom(t *testing.T) {
	g := NewWithT(t)
	s := founders.New("a", "1")
	isDue := func(at float64, c ...founders.Candidate) bool {
		_, _, ok := s.Propose(seconds(at), c)
		return ok
	}
	unsettled := founders.Candidate{Name: "b", Incarnation: "1"}
	g.Expect(isDue(0)).To(BeFalse(), "no hosts")
	g.Expect(isDue(0, append(candidates("a"), unsettled)...)).To(BeFalse(), "hosts still start")
	s.Read(0, 0, next(g, s, 0, "a", "b"), 1)
	g.Expect(isDue(10, candidates("a", "b")...)).To(BeFalse())
	g.Expect(isDue(10, candidates("a")...)).To(BeFalse(), "b may come back")
	g.Expect(isDue(15, candidates("a", "b")...)).To(BeFalse())
	g.Expect(isDue(21, candidates("a")...)).To(BeFalse(), "it was away for a moment only")
	g.Expect(isDue(31, candidates("a")...)).To(BeTrue())
	s.Read(seconds(31), seconds(31), next(g, s, seconds(31), "a", "b.2"), 2)
	g.Expect(isDue(33, candidates("a", "b.3")...)).To(BeFalse(), "too soon")
	g.Expect(isDue(36, candidates("a", "b.3")...)).To(BeTrue())
	s.Report(9)
	g.Expect(isDue(36, candidates("a", "b.3")...)).To(BeFalse(), "it has not read the newest")
}

// BenchmarkIsFounder is the cost of a reservation without a record, with the 39 primary hosts of 13 failure domains and
// three generations.
func BenchmarkIsFounder(b *testing.B) {
	var hosts []founders.Candidate
	for i := range 39 {
		hosts = append(hosts, founders.Candidate{Name: fmt.Sprintf("front-domain-%d-%d", i/3, i%3), Incarnation: "1", Settled: true})
	}
	s := founders.New(hosts[0].Name, "1")
	for generation := range 3 {
		at := seconds(float64(10 * generation))
		hosts[generation+1].Incarnation = "2"
		o, _, _ := s.Propose(at, hosts)
		s.Read(at, at, o, uint64(generation+1))
	}
	for i := range b.N {
		s.IsFounder(seconds(21), fmt.Sprint("program-", i&1023), retention, 0)
	}
}
