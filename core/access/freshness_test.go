package access_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hyssopreel/hyssopreel/core/access"
	"github.com/hyssopreel/hyssopreel/core/routing"
)

const revocation = 2 * time.Second

// world is a store with hosts that learn of its configuration in any order and after any delays.
type world struct {
	now time.Duration
	// documents holds the configuration of each revision, and acceptedAt when the store accepted it.
	documents  []*routing.Table
	acceptedAt []time.Duration
	hosts      []*simulatedHost
	// messages are on their way: calls of delivery change the world.
	messages []func()
}

type simulatedHost struct {
	freshness access.Freshness
	applied   int
	// clockOffset is what its clock shows more than the world's.
	clockOffset time.Duration
	incarnation int
}

func (w *world) clock(h *simulatedHost) time.Duration { return w.now + h.clockOffset }

func (h *simulatedHost) apply(revision int) {
	h.applied = max(h.applied, revision)
	h.freshness.Apply(uint64(revision))
}

// send delivers a message to the same incarnation of a host at any later time, or never.
func (w *world) send(to *simulatedHost, deliver func()) {
	incarnation := to.incarnation
	w.messages = append(w.messages, func() {
		if to.incarnation == incarnation {
			deliver()
		}
	})
}

// list makes a host list the configuration: the store executes the call after a delay, and the answer takes another one.
func (w *world) list(h *simulatedHost) {
	startedAt := w.clock(h)
	w.messages = append(w.messages, func() {
		revision := len(w.documents) - 1
		w.send(h, func() {
			h.apply(revision)
			h.freshness.Learn(access.Fact{Revision: uint64(revision), At: startedAt})
		})
	})
}

// ask makes a host ask a peer, which answers when it likes.
func (w *world) ask(h, peer *simulatedHost) {
	askedAt := w.clock(h)
	w.send(peer, func() {
		receivedAt := w.clock(peer)
		w.send(peer, func() {
			answer := peer.freshness.Answer(receivedAt)
			w.send(h, func() { h.freshness.LearnAnswer(askedAt, answer) })
		})
	})
}

// Guards against a revoked key that is accepted after the bound, by a host that is cut off, frozen, restarted, or hears
// from a peer that is behind, and by one that has heard of a newer configuration without having it.
func TestRevokedKeyIsNotAcceptedAfterTheBound(t *testing.T) {
	key := routing.NewKeyID("k")
	holder := routing.Team{Name: "blue", Keys: []routing.KeyID{key}}
	policy := access.Policy{MaxAge: revocation, MaxAgeToRefuse: time.Second}
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		w := &world{documents: []*routing.Table{tableOf(holder)}, acceptedAt: []time.Duration{0}}
		for range 4 {
			offset := time.Duration(rapid.Int64Range(-int64(time.Hour), int64(time.Hour)).Draw(t, "offset"))
			w.hosts = append(w.hosts, &simulatedHost{clockOffset: offset})
		}
		pick := func(label string) *simulatedHost {
			return w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, label)]
		}
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"wait", "wait", "freeze", "list", "ask", "ask", "deliver", "deliver", "deliver", "deliver", "deliver", "copy", "write", "restart"}).Draw(t, "step") {
			case "wait":
				w.now += time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "wait"))
			case "freeze":
				w.now += time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "freeze"))
			case "list":
				w.list(pick("host"))
			case "ask":
				w.ask(pick("host"), pick("peer"))
			case "deliver":
				if len(w.messages) > 0 {
					i := rapid.IntRange(0, min(len(w.messages)-1, 3)).Draw(t, "message")
					deliver := w.messages[i]
					w.messages = append(w.messages[:i], w.messages[i+1:]...)
					deliver()
				}
			case "copy": // a followed peer's objects, which may be old
				pick("host").apply(pick("peer").applied)
			case "write":
				table := tableOf(routing.Team{Name: "other"})
				if rapid.IntRange(0, 4).Draw(t, "key") == 0 {
					table = tableOf(holder)
				}
				w.documents, w.acceptedAt = append(w.documents, table), append(w.acceptedAt, w.now)
			case "restart":
				h := pick("host")
				*h = simulatedHost{clockOffset: h.clockOffset, incarnation: h.incarnation + 1}
			}
			for i, h := range w.hosts {
				age := access.NeverConfirmed
				if at, ok := h.freshness.ConfirmedAt(); ok {
					age = w.clock(h) - at
				}
				_, err := policy.Authorize(w.documents[h.applied], &key, age)
				if err == nil {
					accepted++
				}
				// The key was in a configuration that was the newest one at some time within the bound.
				valid := false
				for revision, table := range w.documents {
					endedAt := w.now
					if revision+1 < len(w.documents) {
						endedAt = w.acceptedAt[revision+1]
					}
					valid = valid || table.TeamOfKey(key) != nil && endedAt >= w.now-revocation
				}
				if err == nil && !valid {
					t.Fatalf("host %d accepts a key that was revoked more than %v ago: revision %d, age %v", i, revocation, h.applied, age)
				}
			}
		}
	})
	if accepted == 0 {
		t.Error("no request was accepted")
	}
}

// Guards against a fact of a newer configuration that confirms the older one which the host has.
func TestFactCountsOnlyTogetherWithItsRevision(t *testing.T) {
	g := NewWithT(t)
	var f access.Freshness
	f.Apply(4)
	f.Learn(access.Fact{Revision: 4, At: time.Second})
	f.Learn(access.Fact{Revision: 5, At: 2 * time.Second})
	f.Learn(access.Fact{Revision: 6, At: 3 * time.Second})
	at, _ := f.ConfirmedAt()
	g.Expect(at).To(Equal(time.Second))
	f.Apply(5)
	at, _ = f.ConfirmedAt()
	g.Expect(at).To(Equal(2 * time.Second))
	f.Apply(6)
	at, _ = f.ConfirmedAt()
	g.Expect(at).To(Equal(3 * time.Second))
}

// Guards against hosts that refuse callers although they are in touch with the store: the age of what they know must stay
// below 1.5 s. The fleet has 300 hosts that follow ten watchers; one of these lists the configuration.
func TestAgeOfTheConfigurationOfAHostInTouch(t *testing.T) {
	const (
		listInterval = 800 * time.Millisecond
		step         = time.Millisecond
		watchers     = 10
		hosts        = 300
	)
	for _, delay := range []time.Duration{time.Millisecond, 50 * time.Millisecond} {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			all := make([]access.Freshness, hosts)
			type event struct {
				at  time.Duration
				run func(now time.Duration)
			}
			var queue []event
			after := func(at time.Duration, run func(now time.Duration)) { queue = append(queue, event{at, run}) }
			var list func(now time.Duration)
			list = func(now time.Duration) {
				after(now+2*delay, func(later time.Duration) {
					all[0].Learn(access.Fact{Revision: 1, At: now})
					after(later+listInterval, list)
				})
			}
			messages := 0
			var ask func(h int) func(now time.Duration)
			ask = func(h int) func(now time.Duration) {
				return func(askedAt time.Duration) {
					messages++
					peer := 0
					if h >= watchers {
						peer = h % watchers
					}
					question := all[h].Ask(askedAt)
					after(askedAt+delay, func(receivedAt time.Duration) {
						var reply func(now time.Duration)
						reply = func(now time.Duration) {
							if !all[peer].HasNews(receivedAt, question) {
								after(now+step, reply)
								return
							}
							answer := all[peer].Answer(receivedAt)
							after(now+delay, func(now time.Duration) {
								all[h].LearnAnswer(askedAt, answer)
								ask(h)(now)
							})
						}
						reply(receivedAt)
					})
				}
			}
			for h := range all {
				all[h].Apply(1)
				if h > 0 {
					after(time.Duration(h)*time.Millisecond, ask(h))
				}
			}
			after(0, list)
			oldest := time.Duration(0)
			const end = 10 * time.Second
			for now := time.Duration(0); now < end; now += step {
				due := queue
				queue = nil
				for _, e := range due {
					if e.at <= now {
						e.run(now)
					} else {
						queue = append(queue, e)
					}
				}
				for h := range all {
					if at, _ := all[h].ConfirmedAt(); now > 2*time.Second {
						oldest = max(oldest, now-at)
					}
				}
			}
			t.Logf("oldest %v, %d questions in %v", oldest, messages, end)
			if oldest >= 1500*time.Millisecond {
				t.Errorf("the configuration of a host in touch was last confirmed %v ago", oldest)
			}
			if limit := hosts * int(end/listInterval+2); messages > limit {
				t.Errorf("%d questions of %d hosts in %v, want at most %d", messages, hosts, end, limit)
			}
		})
	}
}

// Guards against a peer's old fact that looks new because the question for it is.
func TestOldFactOfAPeerStaysOld(t *testing.T) {
	g := NewWithT(t)
	var peer, h access.Freshness
	peer.Apply(3)
	peer.Learn(access.Fact{Revision: 3, At: time.Second})
	h.Apply(3)
	const askedAt = 100 * time.Second // by another clock
	g.Expect(peer.HasNews(5*time.Second, h.Ask(askedAt))).To(BeTrue())
	h.LearnAnswer(askedAt, peer.Answer(5*time.Second))
	at, ok := h.ConfirmedAt()
	g.Expect(ok).To(BeTrue())
	g.Expect(at).To(Equal(96 * time.Second))
	g.Expect(peer.HasNews(6*time.Second, h.Ask(askedAt+time.Second))).To(BeFalse())
}
