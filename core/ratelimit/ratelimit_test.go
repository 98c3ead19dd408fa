package ratelimit_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hyssopreel/hyssopreel/core/ratelimit"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// Guards against values of the header that are no limit: they must neither start nor end one.
func TestOnlyNumbersOfRequestsAreLimits(t *testing.T) {
	g := NewWithT(t)
	for text, want := range map[string]float64{"0": 0, "3.8": 3.8, "1e2": 100, "0.0": 0} {
		perSecond, limited, err := ratelimit.Parse(text)
		g.Expect(err).NotTo(HaveOccurred(), text)
		g.Expect(limited).To(BeTrue(), text)
		g.Expect(perSecond).To(Equal(want), text)
	}
	for _, text := range []string{"", "many", "-1", "NaN", "-Inf", "5 per second", "3,8"} {
		_, limited, err := ratelimit.Parse(text)
		g.Expect(err).To(HaveOccurred(), text)
		g.Expect(limited).To(BeFalse(), text)
	}
	for _, text := range []string{"1e7", "1e999", "Inf"} {
		_, limited, err := ratelimit.Parse(text)
		g.Expect(err).NotTo(HaveOccurred(), text)
		g.Expect(limited).To(BeFalse(), text)
	}
}

// Guards against a response that was sent before the server named its limit and arrives after it.
func TestLateResponseWithoutALimitEndsNone(t *testing.T) {
	g := NewWithT(t)
	var l ratelimit.Limit
	g.Expect(l.Observe(at(0), at(time.Second), true, 4)).To(BeTrue())
	g.Expect(l.Observe(at(0), at(2*time.Second), false, 0)).To(BeFalse())
	g.Expect(l.Limited).To(BeTrue())
	g.Expect(l.Observe(at(3*time.Second), at(4*time.Second), false, 0)).To(BeTrue())
	g.Expect(l.Limited).To(BeFalse())
}

// Guards against hosts that revive a limit which has ended by telling each other of it.
func TestNewerObservationOfAnotherHostCounts(t *testing.T) {
	g := NewWithT(t)
	l := ratelimit.Limit{Limited: true, PerSecond: 4, ObservedAt: at(5 * time.Second)}
	g.Expect(l.Merge(ratelimit.Limit{ObservedAt: at(4 * time.Second)})).To(BeFalse())
	g.Expect(l.Merge(ratelimit.Limit{ObservedAt: at(6 * time.Second)})).To(BeTrue())
	g.Expect(l.Merge(ratelimit.Limit{Limited: true, PerSecond: 4, ObservedAt: at(5 * time.Second)})).To(BeFalse())
	g.Expect(l.Limited).To(BeFalse())
}

// Guards against bursts after a pause and against changes of the limit: in no 4 s may a server get more than the rule of
// the platform allows, 1.5 times the limit and 5 requests.
func TestGrantsOfAnyFourSecondsAreWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0, 200).Draw(t, "limit")
		account := ratelimit.NewAccount(start, perSecond)
		hosts := rapid.IntRange(1, 171).Draw(t, "hosts")
		var granted []time.Time
		now := start
		for range rapid.IntRange(1, 400).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(50*time.Millisecond)).Draw(t, "gap")))
			if rapid.IntRange(0, 99).Draw(t, "pause") == 0 {
				now = now.Add(10 * time.Second)
			}
			maxWait := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "wait"))
			wait, ok := account.Grant(now, time.Time{}, fmt.Sprint(rapid.IntRange(1, hosts).Draw(t, "host")), perSecond, maxWait)
			if !ok && wait <= 0 {
				t.Fatalf("denied with a wait of %v", wait)
			}
			if ok && wait > maxWait {
				t.Fatalf("granted after %v, can wait %v", wait, maxWait)
			}
			if ok {
				granted = append(granted, now.Add(wait))
			}
		}
		for i, first := range granted {
			n := 0
			for _, g := range granted[i:] {
				if g.Before(first.Add(4 * time.Second)) {
					n++
				}
			}
			if allowed := 1.5*4*max(perSecond, 0.2) + 5; float64(n) > allowed {
				t.Fatalf("%d requests in 4 s at a limit of %v a second", n, perSecond)
			}
		}
	})
}

// Guards against an account that is handed over: the former keeper's permits and the new one's add up.
func TestNewKeeperGrantsNothingBeforeTheFormerPermitsAreUsed(t *testing.T) {
	g := NewWithT(t)
	account := ratelimit.NewAccount(start, 10)
	notBefore := at(ratelimit.HandoverDelay)
	wait, ok := account.Grant(at(100*time.Millisecond), notBefore, "a", 10, time.Second)
	g.Expect(ok).To(BeFalse())
	g.Expect(wait).To(BeNumerically(">=", ratelimit.HandoverDelay-100*time.Millisecond))
	_, ok = account.Grant(at(2*ratelimit.HandoverDelay), notBefore, "a", 10, 0)
	g.Expect(ok).To(BeTrue())
}

// Guards against a limit that is left unused while many hosts each wait for their turn.
func TestManyHostsUseMostOfTheLimit(t *testing.T) {
	for _, hosts := range []int{1, 9, 171} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			g := NewWithT(t)
			const perSecond, seconds = 4.0, 60
			account := ratelimit.NewAccount(start, perSecond)
			askAt := make([]time.Duration, hosts)
			grants, asks := 0, 0
			for now := time.Duration(0); now < seconds*time.Second; now += 5 * time.Millisecond {
				for h := range askAt {
					if now < askAt[h] {
						continue
					}
					asks++
					wait, ok := account.Grant(at(now), time.Time{}, fmt.Sprint(h), perSecond, 0)
					if ok {
						grants++
						wait = 50 * time.Millisecond // until the host's next request
					}
					askAt[h] = now + wait
				}
			}
			g.Expect(grants).To(BeNumerically(">=", 0.8*perSecond*seconds))
			g.Expect(asks).To(BeNumerically("<=", 6*perSecond*seconds+2*float64(hosts)))
		})
	}
}
