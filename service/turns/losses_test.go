package turns

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/time/rate"

	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/core/turnlog"
)

// replaceDisks ends processes at the same time and starts them with empty disks.
func (c *cluster) replaceDisks(disks ...*testDisk) {
	for _, d := range disks {
		c.kill(d)
	}
	for _, d := range disks {
		c.replaceDisk(d)
	}
}

// expectRefilled waits until no host lacks copies.
func (c *cluster) expectRefilled() {
	c.t.Helper()
	c.expectRefilledWithin("10s")
}

func (c *cluster) expectRefilledWithin(timeout string) {
	c.t.Helper()
	c.Eventually(func() int {
		refilling := 0
		for _, d := range c.disks {
			m, s := d.host.members, d.host.shelf.Load()
			m.selfMu.Lock()
			isRegistered := m.written > 0
			m.selfMu.Unlock()
			if !isRegistered || s == nil || m.own().Refilling || !s.hasAllTurns() {
				refilling++
			}
		}
		return refilling
	}, timeout).Should(BeZero())
}

// slowCopies lets a host send copies so slowly that they take far longer than the test.
func slowCopies(d *testDisk) {
	d.host.serveLimit.SetBurst(100) // four turns
	d.host.serveLimit.SetLimit(rate.Limit(1))
}

func isUncertain(err error) bool { return err != nil && !isNotFound(err) }

// Guards against a 404 for turns whose copies were all lost: that no disk has them does not show that they never were.
func TestTurnsOfTooManyLostDisksAreUncertain(t *testing.T) {
	c := newCluster(t, "a-1", "b-1", "c-1")
	ids := c.keepMany(5)
	c.replaceDisks(c.disks...)
	c.Consistently(func() bool { _, err := c.load(ids[0], "p0"); return isUncertain(err) }, "4s").Should(BeTrue())
	c.Expect(c.disks[0].host.shelf.Load().copyState()).To(Equal(turnsMissing))
	c.Eventually(func() error { return c.keep("later", "later", "") }, "5s").Should(Succeed(), "new turns are retained")
	c.kill(c.disks[1])
	c.start(c.disks[1])
	c.Consistently(func() bool { _, err := c.load(ids[1], "p1"); return isUncertain(err) }, "2s").Should(BeTrue(), "after a restart, too")
}

// Guards against unknown turns that stay uncertain after any lost turn would have expired.
func TestUnknownTurnsAreCertainAgainOnceLostOnesHaveExpired(t *testing.T) {
	c := newCluster(t, "a-1", "b-1", "c-1")
	c.keepMany(5)
	c.replaceDisks(c.disks...)
	c.Consistently(func() bool { _, err := c.load("never", "p"); return isUncertain(err) }, "2s").Should(BeTrue())
	for _, d := range c.disks {
		s := d.host.shelf.Load()
		s.mu.Lock()
		s.turnsMissingSince -= time.Minute + turnlog.ExpirySlack // as if the retention of keepMany had passed
		s.mu.Unlock()
	}
	c.keepMany(1)
	c.Eventually(func() error { _, err := c.load("never", "p"); return err }, "10s").Should(MatchError(ErrNotFound))
}

// Guards against a host that takes its copies for made because the only host that had the rest lost its disk meanwhile: "no
// longer there" is not "expired" if the disk is another one.
func TestDiskLostWhileItsTurnsAreCopiedLeavesThemUncertain(t *testing.T) {
	c := newCluster(t, "a-1", "b-1", "c-1")
	ids := c.keepMany(40)
	slowCopies(c.disks[2])
	c.replaceDisks(c.disks[0], c.disks[1])
	c.Eventually(func() int { n, _ := c.disks[0].host.copier.pending(); return n }, "5s").Should(BeNumerically(">", 0))
	c.replaceDisk(c.disks[2])
	for i, id := range ids[:10] {
		_, err := c.load(id, fmt.Sprint("p", i))
		c.Expect(isNotFound(err)).To(BeFalse(), "turn %s: %v", id, err)
	}
	c.Consistently(func() bool { _, err := c.load(ids[0], "p0"); return isNotFound(err) }, "3s").Should(BeFalse())
}

// Guards against copies that end with the process that serves them, or with the one that makes them, and against a host that is
// restarted in between and takes itself for complete.
func TestProcessesEndWhileCopiesAreMade(t *testing.T) {
	c := newCluster(t, "a-1", "b-1", "c-1")
	ids := c.keepMany(40)
	slowCopies(c.disks[2])
	c.replaceDisks(c.disks[0], c.disks[1])
	c.Eventually(func() int { n, _ := c.disks[0].host.copier.pending(); return n }, "5s").Should(BeNumerically(">", 0))
	c.kill(c.disks[2])
	c.kill(c.disks[0])
	c.start(c.disks[0])
	c.Eventually(c.disks[0].host.shelf.Load, "5s").ShouldNot(BeNil())
	c.Consistently(func() bool { _, err := c.load(ids[0], "p0"); return isNotFound(err) }, "2s").Should(BeFalse())
	c.Expect(c.disks[0].host.shelf.Load().hasAllTurns()).To(BeFalse())
	c.start(c.disks[2])
	c.expectCopies(ids, 3)
	c.expectRefilled()
	c.Eventually(func() error { _, err := c.load("never", "p"); return err }, "10s").Should(MatchError(ErrNotFound), "no disk was lost beyond the tolerated ones")
}

// Guards against losses of disks that are borne twice but not a third time.
func TestDisksLostAThirdTime(t *testing.T) {
	c := newCluster(t, "a-1", "b-1", "c-1")
	ids := c.keepMany(40)
	for i := range 3 {
		c.replaceDisks(c.disks[i], c.disks[(i+1)%3])
		c.expectCopies(ids, 3)
		c.expectRefilled()
	}
	for i, id := range ids {
		c.Expect(c.load(id, fmt.Sprint("p", i))).Error().NotTo(HaveOccurred())
	}
	c.Eventually(func() error { _, err := c.load("never", "p"); return err }, "10s").Should(MatchError(ErrNotFound))
}

// Guards against a host that ends by SIGTERM and is not started again, and counts as a holder of copies.
func TestHostThatIsStoppedForGoodIsReplaced(t *testing.T) {
	c := newCluster(t, "a-1", "a-2", "b-1", "b-2", "c-1", "c-2")
	ids := c.keepMany(60)
	c.disks[0].stop() // what SIGTERM does
	c.Eventually(c.disks[0].done, "5s").Should(Receive())
	c.disks[0].stop = nil
	c.expectCopies(ids, 3)
	c.Eventually(func() int { hosts, _, _ := c.client.hosts.current(); return len(hosts) }, "10s").Should(Equal(5))
	c.replaceDisks(c.disks[2], c.disks[4])
	c.expectCopies(ids, 3)
}

// Guards against a host that the store lists and nobody reaches, and against one that is reached and not listed.
func TestListedAndReachableHostsDiffer(t *testing.T) {
	c := newCluster(t, "a-1", "b-1", "c-1", "a-2")
	ids := c.keepMany(20)
	gone := c.disks[0]
	_ = gone.host.node.Close() // its process runs, and its entry stays
	c.Eventually(func() bool {
		hosts, _, _ := c.client.hosts.current()
		return turnlog.CountLosses(hosts).Unreachable == 1 || len(hosts) == 3
	}, "5s").Should(BeTrue())
	c.expectCopies(ids, 3)
	unlisted := c.disks[1]
	c.Expect(c.store.Delete(t.Context(), KindDiskHosts, unlisted.settings.Host.Name, 0)).To(Succeed())
	c.Eventually(func() bool {
		hosts, _, _ := c.client.hosts.current()
		for _, h := range hosts {
			if h.Name == unlisted.settings.Host.Name {
				return true
			}
		}
		return false
	}, "10s").Should(BeTrue(), "it writes its entry again")
	c.Expect(unlisted.host.shelf.Load().hasAllTurns()).To(BeTrue())
	for i, id := range ids {
		c.Expect(c.load(id, fmt.Sprint("p", i))).Error().NotTo(HaveOccurred())
	}
}

// Guards against lost disks that cost reads of the store where no turns are retained.
func TestLostDiskWithoutTurnsIsNotRefilled(t *testing.T) {
	c := newCluster(t, "a-1", "b-1", "c-1")
	c.replaceDisks(c.disks[0], c.disks[1])
	c.Consistently(func() bool {
		for _, d := range c.disks {
			if d.host.members.hasListed() {
				return true
			}
		}
		return false
	}, "1s").Should(BeFalse(), "hosts without turns do not follow the list")
	c.keepMany(5)
	c.expectRefilled()
}

// Guards against unknown turns that are uncertain for ever after a host was lost for good while other disks were refilled.
func TestHostsLostBeyondTheToleratedNumberAreForgotten(t *testing.T) {
	c := newCluster(t, "a-1", "b-1", "c-1", "a-2", "b-2", "c-2")
	c.Expect(c.client.Keep(t.Context(), turnlog.Record{Meta: turnlog.Meta{ID: "t", Program: "p", Retention: time.Second}})).To(Succeed())
	for _, d := range c.disks[:3] {
		c.kill(d)
	}
	c.Eventually(func() int { hosts, _, _ := c.client.hosts.current(); return turnlog.CountLosses(hosts).Unreachable }, "5s").Should(Equal(3))
	c.Consistently(func() error { _, err := c.load("never", "p"); return err }, "3s").Should(MatchError(ErrUncertain))
	c.Eventually(func() error { _, err := c.load("never", "p"); return err }, "20s").Should(MatchError(ErrNotFound))
}

// hangingStore is a store whose reads of single objects do not return.
type hangingStore struct{ objectapi.Store }

func (hangingStore) Get(ctx context.Context, _, _ string) (objectapi.Object, error) {
	<-ctx.Done()
	return objectapi.Object{}, ctx.Err()
}

// Guards against a host that answers no questions while it waits for the store, so that others take it for lost.
func TestStatusDoesNotWaitForTheStore(t *testing.T) {
	g := NewWithT(t)
	ctx, stop := context.WithCancel(t.Context())
	m := newMembers(hangingStore{objectapi.NewMemoryStore()}, turnlog.Host{Name: "a-1"})
	written := make(chan struct{})
	go func() {
		_, _ = m.writeEntry(ctx)
		close(written)
	}()
	g.Consistently(func() bool {
		answered := make(chan struct{})
		go func() { m.own(); close(answered) }()
		select {
		case <-answered:
			return true
		case <-time.After(time.Second):
			return false
		}
	}, "500ms").Should(BeTrue())
	stop()
	g.Eventually(written, "5s").Should(BeClosed())
}
