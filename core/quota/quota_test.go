package quota_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hyssopreel/hyssopreel/core/quota"
)

// TestMain fixes the number of checks and the seed of rapid, so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.checks": "300", "rapid.seed": "20261206", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}

var bounds = quota.Bounds{Window: 5 * time.Second, Tolerance: 0.1, Slack: 20}

// allowed returns the requests that the bounds allow in a window.
func allowed(l quota.Limit) float64 {
	return (l.PerSecond*bounds.Window.Seconds()+l.Burst)*(1+bounds.Tolerance) + bounds.Slack
}

// most returns the largest number of times within a window.
func most(times []time.Duration) int {
	slices.Sort(times)
	out, first := 0, 0
	for i, t := range times {
		for t-times[first] >= bounds.Window {
			first++
		}
		out = max(out, i-first+1)
	}
	return out
}

// Guards against hosts that together send more than the quota: with answers that come late or never, hosts and accounts
// that stand still, an account that moves to another host, which starts without tokens after the leases have ended, and a
// limit that drops.
func TestAllHostsTogetherStayWithinTheQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := quota.Limit{
			PerSecond: rapid.Float64Range(0.5, 1000).Draw(t, "rate"), Burst: rapid.Float64Range(0, 1000).Draw(t, "burst"),
		}
		highest := limit
		now := time.Hour
		account := quota.NewAccount(now, limit, bounds, true)
		notBefore := now
		type answer struct {
			host    int
			askedAt time.Duration
			grant   quota.Grant
		}
		hosts := make([]quota.Holder, rapid.IntRange(1, 8).Draw(t, "hosts"))
		var answers []answer
		var used []time.Duration
		for range rapid.IntRange(50, 600).Draw(t, "steps") {
			host := rapid.IntRange(0, len(hosts)-1).Draw(t, "host")
			switch rapid.SampledFrom([]string{"wait", "wait", "wait", "freeze", "ask", "ask", "ask", "deliver", "deliver", "deliver", "use", "use", "use", "move", "lower"}).Draw(t, "step") {
			case "wait":
				now += time.Duration(rapid.Int64Range(0, int64(100*time.Millisecond)).Draw(t, "wait"))
			case "freeze":
				now += time.Duration(rapid.Int64Range(0, int64(8*time.Second)).Draw(t, "freeze"))
			case "ask": // the question arrives a while after it was asked
				askedAt := now
				now += time.Duration(rapid.Int64Range(0, int64(20*time.Millisecond)).Draw(t, "delay"))
				if now >= notBefore {
					grant := account.Grant(now, fmt.Sprint(host), rapid.IntRange(1, 500).Draw(t, "tokens"), limit)
					answers = append(answers, answer{host, askedAt, grant})
				}
			case "deliver":
				if len(answers) > 0 {
					i := rapid.IntRange(0, len(answers)-1).Draw(t, "answer")
					a := answers[i]
					answers = slices.Delete(answers, i, i+1)
					hosts[a.host].Lease(now, a.askedAt, bounds.LeaseTime(), a.grant)
				}
			case "use":
				for range rapid.IntRange(1, 500).Draw(t, "requests") {
					if !hosts[host].Use(now) {
						break
					}
					used = append(used, now)
				}
			case "move":
				notBefore = now + bounds.LeaseTime()
				account = quota.NewAccount(notBefore, limit, bounds, false)
			case "lower":
				limit.PerSecond, limit.Burst = limit.PerSecond/2, limit.Burst/2
			}
		}
		if n := most(used); float64(n) > allowed(highest) {
			t.Fatalf("%d requests in a window, at most %.1f are allowed by %+v", n, allowed(highest), highest)
		}
	})
}

// simulation is a team whose callers send requests through hosts to which the account answers after a delay.
type simulation struct {
	limit    quota.Limit
	hosts    int
	perS     func(now time.Duration) float64
	duration time.Duration
}

type outcome struct {
	sent, refused, asked int
	times                []time.Duration
}

func (s simulation) run() outcome {
	const step, delay = time.Millisecond, 3 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	account := quota.NewAccount(0, s.limit, bounds, true)
	type host struct {
		quota.Holder
		waiting []time.Duration
		askedAt time.Duration
		grant   *quota.Grant
	}
	hosts := make([]host, s.hosts)
	var out outcome
	due := 0.0
	for now := time.Duration(0); now < s.duration; now += step {
		for due += s.perS(now) * step.Seconds(); due >= 1; due-- {
			h := &hosts[random.IntN(len(hosts))]
			h.RecordRequest(now)
			h.waiting = append(h.waiting, now)
		}
		for i := range hosts {
			h := &hosts[i]
			if h.grant != nil && now >= h.askedAt+2*delay {
				h.Lease(now, h.askedAt, bounds.LeaseTime(), *h.grant)
				h.grant = nil
			}
			for len(h.waiting) > 0 && h.Use(now) {
				h.waiting = h.waiting[1:]
				out.sent++
				out.times = append(out.times, now)
			}
			if _, denied := h.Denied(now); denied {
				out.refused += len(h.waiting)
				h.waiting = nil
			}
			if n := h.Wanted(now, len(h.waiting)); n > 0 && h.grant == nil {
				grant := account.Grant(now+delay, fmt.Sprint(i), n, s.limit)
				h.grant, h.askedAt = &grant, now
				out.asked++
			}
		}
	}
	return out
}

// Guards against a quota that is left unused although callers send six times the usual traffic, which is 1/1.6 of it.
func TestHotTeamUsesItsQuota(t *testing.T) {
	for _, limit := range []quota.Limit{{958, 958}, {100, 50}, {9.5, 20}, {1, 2}} {
		for _, hosts := range []int{1, 9, 39} {
			t.Run(fmt.Sprintf("%v on %d hosts", limit, hosts), func(t *testing.T) {
				g := NewWithT(t)
				const hot = 6 * time.Second
				out := simulation{limit: limit, hosts: hosts, duration: hot, perS: func(time.Duration) float64 { return 6 * limit.PerSecond / 1.6 }}.run()
				want := min(limit.PerSecond*hot.Seconds()+limit.Burst, 6*limit.PerSecond/1.6*hot.Seconds()-1)
				t.Logf("%d of %.0f sent, %d refused, %d questions", out.sent, want, out.refused, out.asked)
				g.Expect(float64(out.sent)).To(BeNumerically(">=", 0.95*want))
				g.Expect(float64(most(out.times))).To(BeNumerically("<=", allowed(limit)))
			})
		}
	}
}

// Guards against requests of a team within its quota that are refused because tokens are at other hosts, or expire there.
func TestTeamWithinItsQuotaIsNotRefused(t *testing.T) {
	for _, limit := range []quota.Limit{{958, 958}, {100, 50}, {9.5, 20}, {1, 2}} {
		for _, hosts := range []int{1, 9, 39} {
			t.Run(fmt.Sprintf("%v on %d hosts", limit, hosts), func(t *testing.T) {
				g := NewWithT(t)
				usual := simulation{limit: limit, hosts: hosts, duration: 20 * time.Second, perS: func(time.Duration) float64 { return limit.PerSecond / 1.6 }}
				out := usual.run()
				t.Logf("%d sent, %d refused, %d questions", out.sent, out.refused, out.asked)
				g.Expect(out.refused).To(BeZero())
				g.Expect(out.asked).To(BeNumerically("<=", out.sent+out.sent/10), "about one question a request at most")
				if perHost := limit.PerSecond / 1.6 / float64(hosts); perHost > 50 {
					g.Expect(out.asked).To(BeNumerically("<=", out.sent/4), "a busy host asks ahead")
				}
				full := usual
				full.perS = func(time.Duration) float64 { return 0.95 * limit.PerSecond }
				out = full.run()
				t.Logf("%d sent, %d refused, %d questions at 0.95 of the quota", out.sent, out.refused, out.asked)
				g.Expect(out.refused).To(BeZero())
			})
		}
	}
}

// Guards against tokens that a host uses after their lease: the account takes them for lost by then.
func TestTokensExpireWithTheirLease(t *testing.T) {
	g := NewWithT(t)
	var h quota.Holder
	h.Lease(50*time.Millisecond, 0, bounds.LeaseTime(), quota.Grant{Tokens: 2})
	g.Expect(h.Use(bounds.LeaseTime() - 1)).To(BeTrue())
	g.Expect(h.Use(bounds.LeaseTime())).To(BeFalse())
	h.Lease(time.Second, 0, bounds.LeaseTime(), quota.Grant{Tokens: 2})
	g.Expect(h.Available(time.Second)).To(BeZero(), "the answer took longer than the lease")
}

// Guards against an account that goes on with the limit of a former configuration.
func TestAccountAppliesALoweredLimit(t *testing.T) {
	g := NewWithT(t)
	account := quota.NewAccount(0, quota.Limit{PerSecond: 100, Burst: 100}, bounds, true)
	lowered := quota.Limit{PerSecond: 1}
	granted := 0
	for now := time.Duration(0); now < bounds.Window; now += 10 * time.Millisecond {
		granted += account.Grant(now, "a", 10, lowered).Tokens
	}
	g.Expect(float64(granted)).To(BeNumerically("<=", allowed(lowered)))
}

// Guards against programs of a hot team that start and are refused midway, so that all that they have used is lost: with 10
// requests a second and programs of 20 requests, one starts every two seconds, and a few may start together.
func TestHotTeamStartsAsManyProgramsAsItsQuotaCompletes(t *testing.T) {
	limit := quota.Limit{PerSecond: 10, Burst: 30}
	account := quota.NewAccount(0, limit, quota.Bounds{Window: 5 * time.Second, Tolerance: 0.1}, true)
	started := 0
	for now := time.Duration(0); now < 20*time.Second; now += 50 * time.Millisecond {
		retryAfter, ok := account.StartProgram(now, limit, 20)
		if ok {
			started++
		} else if retryAfter <= 0 || retryAfter > 2*time.Second {
			t.Fatalf("retry after %v", retryAfter)
		}
	}
	if started < 12 || started > 14 { // 4 at once, and 10 in 20 s
		t.Errorf("%d programs started in 20 s", started)
	}
}

// Guards against refusing programs before it is known how many requests they make.
func TestProgramsOfUnknownSizeStart(t *testing.T) {
	limit := quota.Limit{PerSecond: 1}
	account := quota.NewAccount(0, limit, quota.Bounds{}, true)
	var programs quota.Programs
	for i := range 5 {
		now := time.Duration(i) * 10 * time.Millisecond
		if _, ok := account.StartProgram(now, limit, programs.RequestsPerProgram(now)); !ok {
			t.Fatal("refused")
		}
		programs.RecordStart(now)
	}
	programs.RecordRequests(time.Second, 60)
	for range 5 {
		programs.RecordStart(time.Second)
	}
	if got := programs.RequestsPerProgram(time.Second); got < 5 || got > 7 {
		t.Errorf("%v requests a program, want 6", got)
	}
}
