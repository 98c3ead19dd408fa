package spill_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/core/spill"
)

func TestSpill(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "spill")
}

const (
	home = "a"
	tick = spill.UpdateInterval
	// requestTime is the duration of a request in the model: what leaves a domain shows there with this delay.
	requestTime = 300 * time.Millisecond
)

// model is a service in three failure domains with one controller each. A domain's load follows what is sent to it.
type model struct {
	now         time.Time
	capacity    map[string]float64
	load        map[string]float64
	sent        map[string]map[string]float64 // requests in progress, by the domains that they come from and go to
	controllers map[string]*spill.Controller
}

var domains = []string{"a", "b", "c"}

func newModel(capacityA, capacityB, capacityC float64) *model {
	m := &model{
		now: time.Unix(1000, 0), load: map[string]float64{}, sent: map[string]map[string]float64{}, controllers: map[string]*spill.Controller{},
		capacity: map[string]float64{"a": capacityA, "b": capacityB, "c": capacityC},
	}
	for _, d := range domains {
		m.controllers[d], m.sent[d] = &spill.Controller{}, map[string]float64{}
	}
	return m
}

// run lets time pass while the callers of each domain keep offered(domain, elapsed) requests in progress, and calls check
// after each tick.
func (m *model) run(duration time.Duration, offered func(domain string, elapsed time.Duration) float64, check func(elapsed time.Duration)) {
	const draws = 20 // requests of a domain in a tick
	follow := 1 - math.Exp(-float64(tick)/float64(requestTime))
	for elapsed := time.Duration(0); elapsed < duration; elapsed += tick {
		m.now = m.now.Add(tick)
		for _, from := range domains {
			var snapshot []spill.Domain
			for _, d := range domains {
				if m.capacity[d] > 0 {
					snapshot = append(snapshot, spill.Domain{Name: d, Load: m.load[d], FromHome: m.sent[from][d], Capacity: m.capacity[d]})
				}
			}
			m.controllers[from].Update(m.now, from, snapshot)
		}
		clear(m.load)
		for _, from := range domains {
			arriving := map[string]float64{}
			for i := range draws {
				to := m.controllers[from].Choose((float64(i) + 0.5) / draws)
				if to == "" {
					to = from
				}
				arriving[to] += offered(from, elapsed) / draws
			}
			for _, to := range domains {
				m.sent[from][to] += follow * (arriving[to] - m.sent[from][to])
				m.load[to] += m.sent[from][to]
			}
		}
		check(elapsed)
	}
}

func (m *model) share(from string) float64 {
	total := 0.0
	for _, d := range domains {
		total += m.controllers[from].Share(d)
	}
	return total
}

func constant(a, b, c float64) func(string, time.Duration) float64 {
	return func(domain string, _ time.Duration) float64 {
		return map[string]float64{"a": a, "b": b, "c": c}[domain]
	}
}

var _ = Describe("Controller", func() {
	DescribeTable("steady load: the part of a domain's requests that leaves",
		func(offeredA, offeredB, offeredC, least, most float64) {
			m := newModel(24, 24, 24)
			m.run(10*time.Second, constant(offeredA, offeredB, offeredC), func(time.Duration) {})
			Expect(m.share(home)).To(And(BeNumerically(">=", least), BeNumerically("<=", most)))
		},
		// Guards against traffic between domains that pays for nothing.
		Entry("quiet day: nobody leaves", 8.0, 6.0, 7.0, 0.0, 0.0),
		Entry("busy, but the domain has enough servers: nobody leaves", 19.0, 8.0, 8.0, 0.0, 0.0),
		Entry("uneven callers: what exceeds the domain's servers leaves", 30.0, 10.0, 10.0, 0.3, 0.55),
		// Guards against moving an overload around: the other domains are as full.
		Entry("burst in all domains: nobody leaves", 60.0, 60.0, 60.0, 0.0, 0.0),
		Entry("burst in all domains, one a little ahead: a small part leaves", 66.0, 50.0, 50.0, 0.02, 0.25),
		Entry("more than the slots of all domains: leaves until the domains are about equally full", 60.0, 20.0, 20.0, 0.35, 0.5),
	)

	// Guards against a domain that returns to its overloaded state because the requests that left are missing in its load.
	It("uneven callers: relieves the domain and keeps doing so", func() {
		m := newModel(24, 24, 24)
		m.run(30*time.Second, constant(30, 10, 10), func(elapsed time.Duration) {
			if elapsed > 4*time.Second {
				Expect(m.load["a"]).To(And(BeNumerically("<", 0.9*24), BeNumerically(">", 0.7*24)), "after %v", elapsed)
				Expect(m.share("b")+m.share("c")).To(BeZero(), "after %v", elapsed)
			}
		})
	})

	It("load near the threshold: begins above 0.9 of the slots and ends below 0.8", func() {
		m := newModel(24, 24, 24)
		check := func(want bool) func(time.Duration) {
			return func(elapsed time.Duration) {
				if elapsed > 3*time.Second {
					Expect(m.controllers[home].Leaving()).To(Equal(want), "after %v", elapsed)
				}
			}
		}
		m.run(5*time.Second, constant(0.6*24, 5, 5), func(time.Duration) {})
		m.run(5*time.Second, constant(0.78*24, 5, 5), check(false))
		m.run(5*time.Second, constant(0.86*24, 5, 5), check(false))
		m.run(5*time.Second, constant(0.95*24, 5, 5), check(true))
		m.run(5*time.Second, constant(0.84*24, 5, 5), check(true))
		m.run(5*time.Second, constant(0.7*24, 5, 5), check(false))
	})

	// Guards against hosts that all leave, fill the other domain, and all return.
	It("sudden surge: the share rises over half a second and falls over two seconds", func() {
		m := newModel(24, 48, 48)
		m.run(3*time.Second, constant(10, 5, 5), func(time.Duration) {})
		previous := 0.0
		step := func(time.Duration) {
			Expect(m.share(home) - previous).To(And(
				BeNumerically("<=", 2*float64(tick)/float64(500*time.Millisecond)+1e-9),
				BeNumerically(">=", -2*float64(tick)/float64(2*time.Second)-1e-9),
			))
			previous = m.share(home)
		}
		m.run(4*time.Second, constant(70, 5, 5), step)
		Expect(previous).To(BeNumerically(">", 0.5))
		m.run(4*time.Second, constant(5, 5, 5), step)
		Expect(previous).To(BeZero())
	})

	// The callers of one deployment send 1.36 to 1, in waves of 17 s with a swing of 0.55 that are shifted between domains.
	It("shifted waves: each domain sends only from its crest, and no two send to each other", func() {
		m := newModel(24, 24, 24)
		wave := func(domain string, elapsed time.Duration) float64 {
			phase := map[string]float64{"a": 0, "b": 1, "c": 2}[domain] / 3
			mean := map[string]float64{"a": 19, "b": 14, "c": 14}[domain]
			return mean * (1 + 0.55*math.Sin(2*math.Pi*(elapsed.Seconds()/17+phase)))
		}
		overloaded, overloadedAlone, sentBoth := 0, 0, 0
		m.run(4*17*time.Second, wave, func(elapsed time.Duration) {
			if m.load["a"] > 24 {
				overloaded++
			}
			if wave("a", elapsed) > 24 {
				overloadedAlone++
			}
			if m.controllers["a"].Share("b") > 0.02 && m.controllers["b"].Share("a") > 0.02 {
				sentBoth++
			}
			if wave("a", elapsed) < 8 {
				Expect(m.share("a")).To(BeNumerically("<", 0.05), "trough at %v", elapsed)
			}
		})
		Expect(overloaded).To(BeNumerically("<", overloadedAlone/4), "ticks above the domain's slots, without leaving %d", overloadedAlone)
		Expect(sentBoth).To(BeZero())
	})

	It("lost domain: all leave, in proportion to the room of the other domains", func() {
		m := newModel(24, 24, 48)
		m.run(2*time.Second, constant(10, 10, 10), func(time.Duration) {})
		m.capacity["a"] = 0
		m.run(3*time.Second, constant(10, 10, 10), func(time.Duration) {})
		c := m.controllers[home]
		Expect(c.Share("b") + c.Share("c")).To(BeNumerically("~", 1, 0.01))
		Expect(c.Share("c")).To(BeNumerically(">", 1.5*c.Share("b")))
		m.capacity["a"] = 24
		m.run(4*time.Second, constant(10, 10, 10), func(time.Duration) {})
		Expect(m.share(home)).To(BeZero())
	})

	// Guards against a decision by the moment: a wave that rises fills the domain before the average has followed.
	It("rising load: leaves before the slots are taken", func() {
		m := newModel(24, 24, 24)
		m.run(3*time.Second, constant(10, 6, 6), func(time.Duration) {})
		ramp := func(domain string, elapsed time.Duration) float64 {
			if domain == home {
				return 10 + 5*elapsed.Seconds()
			}
			return 6
		}
		began := 0.0
		m.run(4*time.Second, ramp, func(time.Duration) {
			if began == 0 && m.share(home) > 0 {
				began = m.load[home]
			}
		})
		Expect(began).To(And(BeNumerically(">", 0.7*24), BeNumerically("<", 0.92*24)))
	})

	// Guards against a host that takes its own requests at cached prompts abroad for a shortage of its domain, and then
	// sends more and more of them.
	It("sessions with prompts cached abroad: the domain has enough servers, and nobody else leaves", func() {
		var c spill.Controller
		now := time.Unix(1000, 0)
		snapshot := []spill.Domain{{Name: "a", Load: 12, FromHome: 12, Capacity: 24}, {Name: "b", Load: 15, FromHome: 6, Capacity: 24}}
		for range 100 {
			now = now.Add(tick)
			c.Update(now, home, snapshot)
			Expect(c.Share("b")).To(BeZero())
		}
	})

	It("draws decide which requests leave", func() {
		m := newModel(24, 24, 24)
		m.run(10*time.Second, constant(30, 10, 10), func(time.Duration) {})
		c, left := m.controllers[home], 0
		for i := range 1000 {
			if c.Choose(float64(i)/1000) != "" {
				left++
			}
		}
		Expect(float64(left) / 1000).To(BeNumerically("~", m.share(home), 0.005))
	})
})
