package turns

import (
	"context"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/common/settings"
	"github.com/hyssopreel/hyssopreel/core/turnlog"
)

// Bounds of a deployment of three hosts with a disk, two of which may be lost at once.
const (
	recoveryBound = 6 * time.Second
	diskBytes     = 340 << 20
	memoryBytes   = 154 << 20
	linkMbps      = 600
	// successorDelay is the time from the end of a host to the start of its successor.
	successorDelay = time.Second
	largeInput     = 13_000
	// tries is how often a caller tries a turn, and retryDelay the time between.
	tries      = 5
	retryDelay = 300 * time.Millisecond
)

// newFullCluster starts three hosts with the bounds of a deployment and without changed constants, and retains turns until
// the hosts accept no more. It returns the IDs of the turns; the program of a turn has the same ID.
func newFullCluster(t *testing.T) (*cluster, []string) {
	c := newLargeCluster(t, "a-1", "b-1", "c-1")
	ids := c.fill("full", math.MaxInt)
	c.Expect(len(ids)).To(BeNumerically(">", 9000), "the disks take as much as before")
	return c, ids
}

// newLargeCluster starts hosts with the bounds of a deployment and without changed constants.
func newLargeCluster(t *testing.T, names ...string) *cluster {
	return newClusterWith(t, func(s *settings.EntryHost) {
		s.Disk.Bytes, s.Limits.MemoryBytes, s.Limits.LinkMbps = diskBytes, memoryBytes, linkMbps
	}, names...)
}

// fill retains turns until the hosts accept no more, or there are so many.
func (c *cluster) fill(prefix string, most int) []string {
	const writers = 16
	var mu sync.Mutex
	var ids []string
	var group sync.WaitGroup
	for w := range writers {
		group.Go(func() {
			for i := 0; i < most/writers && c.client.CheckCapacity(largeInput) == nil; i++ {
				id := fmt.Sprintf("%s-%d-%d", prefix, w, i)
				if c.keepLarge(id) != nil {
					return
				}
				mu.Lock()
				ids = append(ids, id)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	var bytes int64
	for _, d := range c.disks {
		bytes = max(bytes, d.host.shelf.Load().index.Bytes())
	}
	c.t.Logf("%d turns, at most %d MB on a disk", len(ids), bytes>>20)
	return ids
}

func (c *cluster) keepLarge(id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return c.client.Keep(ctx, turnlog.Record{
		Meta:  turnlog.Meta{ID: id, Program: id, Retention: time.Minute},
		Input: []byte(strings.Repeat(id+" ", largeInput/(len(id)+1))), Output: []byte("out " + id + "\n"),
	})
}

// keepWithTries retains a turn as a caller that comes back after a refusal does.
func (c *cluster) keepWithTries(id string) (err error) {
	for range tries {
		if err = c.client.CheckCapacity(largeInput); err == nil {
			err = c.keepLarge(id)
		}
		if err == nil {
			return nil
		}
		time.Sleep(retryDelay)
	}
	return err
}

// expectAll loads all turns. Each must be found, by the fifth try. It ends after some failures, because a turn that is not
// found waits for a list of the hosts.
func (c *cluster) expectAll(ids []string) {
	c.t.Helper()
	const (
		readers     = 16
		maxFailures = 20
	)
	queue := make(chan string)
	failures := atomic.Int64{}
	var mu sync.Mutex
	var group sync.WaitGroup
	failed := map[string]int{}
	for range readers {
		group.Go(func() {
			for id := range queue {
				var err error
				for range tries {
					if _, err = c.load(id, id); err == nil || isNotFound(err) {
						break
					}
					time.Sleep(retryDelay)
				}
				if err != nil {
					failures.Add(1)
					mu.Lock()
					failed[fmt.Sprintf("absent %v", isNotFound(err))]++
					mu.Unlock()
				}
			}
		})
	}
	for _, id := range ids {
		if failures.Load() > maxFailures {
			break
		}
		queue <- id
	}
	close(queue)
	group.Wait()
	c.Expect(failed).To(BeEmpty(), "turns that were not found, of %d", len(ids))
}

// awaitRecovery waits until only running hosts are listed and all have their copies, and logs how long that takes. It has no bound of the
// deployment, because the machine of a test can be many times slower than at other times: those are compared in
// TestCopiesOfAFullDiskFitIntoTheBound.
func (c *cluster) awaitRecovery() {
	c.t.Helper()
	const timeout = "90s"
	startedAt := time.Now()
	var running []string
	for _, d := range c.disks {
		if d.stop != nil {
			running = append(running, d.settings.Host.Name)
		}
	}
	c.expectRefilledWithin(timeout)
	c.Eventually(func() []string {
		hosts, _, _ := c.client.hosts.current()
		var names []string
		for _, h := range hosts {
			if h.State == turnlog.Ready && !h.Refilling {
				names = append(names, h.Name)
			}
		}
		if len(names) < len(hosts) {
			return nil
		}
		return names
	}, timeout).Should(ConsistOf(running))
	c.t.Logf("all copies were there after %v", time.Since(startedAt))
}

// Guards against times and rates that do not follow from the time after which a host no longer counts as lost, so that
// the turns of a full disk end with the next lost disk: 8 MB/s and 10 s are not enough for 160 MB in 6 s.
func TestCopiesOfAFullDiskFitIntoTheBound(t *testing.T) {
	g := NewWithT(t)
	for _, bound := range []time.Duration{0, recoveryBound, 4 * time.Second} { // 0: not in the settings
		s := &settings.EntryHost{}
		s.Disk.Bytes, s.Limits.MemoryBytes, s.Limits.LinkMbps, s.Promises.RecoveryDelay = diskBytes, memoryBytes, linkMbps, bound
		h := NewHost(s, nil)
		if bound == 0 {
			bound = recoveryBound
		}
		copying := time.Duration(float64(h.recovery.MaxBytes) / float64(h.copyLimit.Limit()) * float64(time.Second))
		detecting := h.recovery.LostAfter + 2*h.pingInterval()
		g.Expect(detecting+copying).To(BeNumerically("<=", bound), "a host that is gone")
		g.Expect(h.copyInterval).To(BeNumerically("<", bound))
		// Two hosts take their copies from a third one, at worst all of them.
		sending := time.Duration(2 * 0.85 * float64(h.recovery.MaxBytes) / float64(h.serveLimit.Limit()) * float64(time.Second))
		g.Expect(sending).To(BeNumerically("<", bound), "two lost disks")
		g.Expect(float64(h.copyLimit.Limit())).To(BeNumerically("<=", 0.75*linkMbps*1e6/8), "callers need the rest")
	}
}

// Guards against disks that are not filled again, so that the turns end with the next lost disk.
func TestDisksAreFilledAgainInTimeAtFullSize(t *testing.T) {
	c, ids := newFullCluster(t)
	c.replaceDisks(c.disks[0], c.disks[1])
	c.awaitRecovery()
	c.replaceDisk(c.disks[2])
	c.expectAll(ids)
	c.awaitRecovery()
	c.Eventually(func() error { _, err := c.load("never", "p"); return err }, "10s").Should(MatchError(ErrNotFound), "so that no host counts as lost any more")
}

// Guards against copies for which turns that go on meanwhile are refused, fail or are lost.
func TestFirstTurnsGoOnWhileCopiesAreMadeAtFullSize(t *testing.T) {
	c := newLargeCluster(t, "a-1", "b-1", "c-1")
	ids := c.fill("before", 7000)
	c.replaceDisks(c.disks[0], c.disks[1])
	c.Eventually(func() error { return c.client.CheckCapacity(largeInput) }, "30s").Should(Succeed())
	var mu sync.Mutex
	var failures []error
	var took []time.Duration
	var group sync.WaitGroup
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for i, startedAt := 0, time.Now(); time.Since(startedAt) < recoveryBound; i++ {
		<-ticker.C
		group.Go(func() {
			id, startedAt := fmt.Sprint("meanwhile-", i), time.Now()
			err := c.keepWithTries(id)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failures = append(failures, err)
				return
			}
			took, ids = append(took, time.Since(startedAt)), append(ids, id)
		})
	}
	group.Wait()
	slices.Sort(took)
	t.Logf("%d turns meanwhile; 99 in 100 retained after at most %v", len(took), took[len(took)*99/100])
	c.Expect(failures).To(BeEmpty())
	c.awaitRecovery()
	c.replaceDisk(c.disks[2])
	c.expectAll(ids)
}

// Guards against losses that are borne by three hosts with a disk and not by two in each failure domain.
func TestSixHostsBearLossesInTurnAtFullSize(t *testing.T) {
	c := newLargeCluster(t, "a-1", "b-1", "c-1", "a-2", "b-2", "c-2")
	ids := c.fill("six", 10_000)
	c.kill(c.disks[0])
	time.Sleep(successorDelay)
	c.add("a-3")
	c.awaitRecovery()
	c.replaceDisks(c.disks[1], c.disks[2])
	c.awaitRecovery()
	c.replaceDisks(c.disks[3], c.disks[4])
	c.expectAll(ids)
}

// Guards against a host that is gone and counts as a holder of copies, so that its successor does not make them in time.
func TestSuccessorHasItsCopiesInTimeAtFullSize(t *testing.T) {
	c, ids := newFullCluster(t)
	c.kill(c.disks[0])
	time.Sleep(successorDelay)
	c.add("a-2")
	c.awaitRecovery()
	c.replaceDisks(c.disks[1], c.disks[2])
	c.expectAll(ids)
}
