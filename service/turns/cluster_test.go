package turns

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/common/settings"
	"github.com/hyssopreel/hyssopreel/common/wire"
	"github.com/hyssopreel/hyssopreel/core/turnlog"
)

// testDisk is a host with a disk whose file system is in memory.
type testDisk struct {
	settings *settings.EntryHost
	fs       *vfs.MemFS
	inject   errorfs.Injector
	host     *Host
	stop     context.CancelFunc
	done     chan error
}

// cluster is a store, hosts with disks, and the client of an entry host in failure domain a.
type cluster struct {
	*WithT
	t      *testing.T
	store  *objectapi.MemoryStore
	client *Client
	disks  []*testDisk
	// configure changes the settings of hosts; nil in tests with short intervals.
	configure func(*settings.EntryHost)
}

// newCluster starts hosts with short intervals: the first letter of a name is its failure domain.
func newCluster(t *testing.T, names ...string) *cluster { return newClusterWith(t, nil, names...) }

// newClusterWith starts hosts with the intervals of the product, if configure is not nil.
func newClusterWith(t *testing.T, configure func(*settings.EntryHost), names ...string) *cluster {
	c := &cluster{WithT: NewWithT(t), t: t, store: objectapi.NewMemoryStore(), configure: configure}
	node := wire.NewNode(wire.Options{ProcessName: "entry"})
	t.Cleanup(func() { _ = node.Close() })
	c.client = NewClient(node, c.store, 2, "a", "r", tally.NoopScope)
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { c.client.Run(ctx) })
	group.Go(func() {
		for ctx.Err() == nil {
			if objects, revision, err := c.store.List(ctx, KindDiskHosts, ""); err == nil {
				c.client.hosts.replace(objects, revision)
			}
			sleep(ctx, 50*time.Millisecond)
		}
	})
	t.Cleanup(func() { stop(); group.Wait() })
	for _, name := range names {
		c.add(name)
	}
	c.Eventually(func() error { return c.client.CheckCapacity(0) }, "5s").Should(Succeed())
	return c
}

func (c *cluster) add(name string) *testDisk {
	s := &settings.EntryHost{}
	s.Host.Name, s.Host.FailureDomain, s.Host.Region, s.Host.FirstStart = name, name[:1], "r", len(c.disks) < 3
	s.Listen.Peer, s.Listen.Metrics = freeAddress(c.t), "127.0.0.1:0"
	s.Disk.Path, s.Disk.Bytes, s.Limits.MemoryBytes = "data", 256<<20, 128<<20
	s.Promises.TolerableHostLosses = 2
	if c.configure != nil {
		c.configure(s)
	}
	d := &testDisk{settings: s, fs: vfs.NewCrashableMem()}
	c.disks = append(c.disks, d)
	c.start(d)
	c.t.Cleanup(func() { c.kill(d) })
	return d
}

// freeAddress returns an address that outgoing connections, which have the source 127.0.0.1, do not take before it is used.
func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(250), 1+rand.IntN(250), 1+rand.IntN(250)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func (c *cluster) start(d *testDisk) {
	ctx, stop := context.WithCancel(context.Background())
	d.stop, d.done = stop, make(chan error, 1)
	d.host = NewHost(d.settings, c.store)
	if c.configure == nil {
		d.host.recovery.LostAfter, d.host.copyInterval = time.Second, 200*time.Millisecond
	}
	d.host.fs = d.fs
	if d.inject != nil {
		d.host.fs = errorfs.Wrap(d.fs, d.inject)
	}
	host, done := d.host, d.done
	go func() {
		err := host.Run(ctx)
		if err != nil && ctx.Err() == nil {
			c.t.Logf("host %s ended: %v", d.settings.Host.Name, err)
		}
		done <- err
	}()
}

// kill ends the process; what it wrote without a sync stays with the operating system.
func (c *cluster) kill(d *testDisk) {
	if d.stop == nil {
		return
	}
	_ = d.host.node.Close()
	d.stop()
	c.Eventually(d.done, "10s").Should(Receive())
	d.stop = nil
}

// losePower ends the process and loses a random part of what was not synced.
func (c *cluster) losePower(d *testDisk, random *rand.Rand) {
	_ = d.host.node.Close()
	after := d.fs.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: random.IntN(101), RNG: random})
	c.kill(d)
	d.fs = after
}

// replaceDisk ends the process and starts it with an empty disk.
func (c *cluster) replaceDisk(d *testDisk) {
	c.kill(d)
	d.fs = vfs.NewCrashableMem()
	d.settings.Host.FirstStart = false
	c.start(d)
}

func (c *cluster) keep(program, id, previous string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	anchor := turnlog.Anchor{}
	if previous != "" {
		chain, err := c.load(previous, program)
		if err != nil {
			return err
		}
		anchor = chain.Anchor
	}
	return c.client.Keep(ctx, turnlog.Record{
		Meta:  turnlog.Meta{ID: id, Previous: previous, Program: program, Anchor: anchor, Retention: time.Minute},
		Input: []byte("in " + id + ";"), Output: []byte("out " + id + "\n"),
	})
}

func (c *cluster) load(id, program string) (Chain, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return c.client.Load(ctx, Request{Turn: id, Program: program, Reserve: func(int) bool { return true }})
}

// held returns the number of turns on a disk.
func held(d *testDisk) int {
	if s := d.host.shelf.Load(); s != nil {
		return s.len()
	}
	return 0
}

// copies returns the number of running hosts that have the turn.
func (c *cluster) copies(id string) int {
	n := 0
	for _, d := range c.disks {
		if s := d.host.shelf.Load(); d.stop != nil && s != nil && s.has(id) {
			n++
		}
	}
	return n
}

// expectListed waits until the client knows n hosts.
func (c *cluster) expectListed(n int) {
	c.t.Helper()
	c.Eventually(func() int { hosts, _, _ := c.client.hosts.current(); return len(hosts) }, "10s").Should(Equal(n))
}

// keepMany retains turns of programs, and returns their IDs.
func (c *cluster) keepMany(n int) []string {
	var ids []string
	for i := range n {
		id := fmt.Sprint("t", i)
		c.Eventually(func() error { return c.keep(fmt.Sprint("p", i), id, "") }, "5s").Should(Succeed())
		ids = append(ids, id)
	}
	return ids
}

func (c *cluster) expectCopies(ids []string, n int) {
	c.t.Helper()
	for _, id := range ids {
		c.Eventually(func() int { return c.copies(id) }, "10s").Should(BeNumerically(">=", n), id)
	}
}

// Guards against turns that have fewer copies from the loss of two disks on, so that a second loss ends them.
func TestCopiesOfLostDisksAreMadeAgain(t *testing.T) {
	c := newCluster(t, "a-1", "b-1", "c-1", "a-2", "b-2")
	ids := c.keepMany(40)
	c.replaceDisk(c.disks[0])
	c.replaceDisk(c.disks[1])
	c.expectCopies(ids, 3)
	c.replaceDisk(c.disks[2])
	c.replaceDisk(c.disks[3])
	c.expectCopies(ids, 3)
	for i, id := range ids {
		chain, err := c.load(id, fmt.Sprint("p", i))
		c.Expect(err).NotTo(HaveOccurred())
		c.Expect(string(chain.Prompt)).To(Equal("in " + id + ";out " + id + "\n"))
	}
}

// Guards against a host that never comes back and keeps turns at fewer copies, or all unknown turns at 503.
func TestPermanentlyLostHostIsReplacedByOthers(t *testing.T) {
	c := newCluster(t, "a-1", "b-1", "c-1", "a-2")
	ids := c.keepMany(30)
	c.Eventually(func() error { _, err := c.load("never", "p"); return err }, "10s").Should(MatchError(ErrNotFound), "all hosts have answered")
	c.kill(c.disks[0])
	_, err := c.load("never", "p")
	c.Expect(err).To(MatchError(ErrUncertain))
	c.expectCopies(ids, 3)
	c.Eventually(func() error { _, err := c.load("never", "p"); return err }, "10s").Should(MatchError(ErrNotFound))
}

// Guards against entries that are removed although turns may be only on the hosts that were lost.
func TestEntriesStayIfMoreHostsAreLostThanTolerated(t *testing.T) {
	c := newCluster(t, "a-1", "b-1", "c-1", "a-2", "b-2", "c-2")
	ids := c.keepMany(5)
	var hosts []turnlog.Host
	for _, d := range c.disks {
		hosts = append(hosts, d.host.members.own())
	}
	for _, target := range turnlog.Targets(hosts, turnlog.Anchor{Key: "p0", FailureDomain: "a"}, 3) {
		c.kill(c.disks[slices.IndexFunc(c.disks, func(d *testDisk) bool { return d.settings.Host.Name == target.Name })])
	}
	c.Consistently(func() error { _, err := c.load(ids[0], "p0"); return err }, "4s").Should(MatchError(ErrUncertain))
	for _, d := range c.disks {
		if d.stop == nil {
			c.start(d)
		}
	}
	c.Eventually(func() error { _, err := c.load(ids[0], "p0"); return err }, "10s").Should(Succeed())
}

// Guards against a new host that the chains of its programs are not read from, or against turns that are moved away from.
func TestAddedHostGetsItsCopies(t *testing.T) {
	c := newCluster(t, "a-1", "b-1", "c-1")
	ids := c.keepMany(40)
	added := c.add("a-2")
	c.Eventually(func() int { return held(added) }, "10s").Should(BeNumerically(">", 8), "about half of those of failure domain a")
	c.Eventually(added.host.shelf.Load().hasAllTurns, "10s").Should(BeTrue())
	for i, id := range ids {
		c.Expect(c.load(id, fmt.Sprint("p", i))).Error().NotTo(HaveOccurred())
	}
}

// Guards against a retirement that is confirmed while turns have too few copies elsewhere.
func TestRetirementWaitsForTheCopies(t *testing.T) {
	c := newCluster(t, "a-1", "b-1", "c-1")
	ids := c.keepMany(20)
	retired := make(chan error, 1)
	go func() { retired <- c.disks[0].host.Retire(context.Background()) }()
	c.Consistently(retired, "1s").ShouldNot(Receive(), "there are only two other hosts")
	c.add("a-2")
	c.Eventually(retired, "10s").Should(Receive(BeNil()))
	c.kill(c.disks[0])
	for _, id := range ids {
		c.Expect(c.copies(id)).To(Equal(3))
	}
	c.Eventually(func() error { _, err := c.load("never", "p"); return err }, "5s").Should(MatchError(ErrNotFound))
}

// Guards against a host without turns whose retirement waits for others, or costs reads of the store.
func TestHostWithoutTurnsRetiresAtOnce(t *testing.T) {
	c := newCluster(t, "a-1", "b-1", "c-1")
	c.Expect(c.disks[0].host.Retire(context.Background())).To(Succeed())
	for _, d := range c.disks {
		c.Expect(d.host.members.hasListed()).To(BeFalse(), "hosts without turns do not follow the list")
	}
}

// Guards against turns that wait for a disk that hangs while other hosts could retain them.
func TestHangingDiskIsReplacedByAnother(t *testing.T) {
	c := newCluster(t, "a-1", "b-1", "c-1")
	hangs := atomic.Bool{}
	released := make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	t.Cleanup(release) // before the hosts are stopped
	slow := c.disks[0]
	c.kill(slow)
	slow.inject = errorfs.InjectorFunc(func(op errorfs.Op) error {
		if hangs.Load() && op.Kind.ReadOrWrite() == errorfs.OpIsWrite {
			<-released
		}
		return nil
	})
	c.start(slow)
	c.add("a-2")
	c.expectListed(4)
	c.keepMany(3)
	hangs.Store(true)
	for i := range 10 {
		c.Expect(c.keep(fmt.Sprint("h", i), fmt.Sprint("h", i), "")).To(Succeed(), "within the time of a request")
	}
	c.Expect(c.client.isAvoided("a-1")).To(BeTrue(), "it gets no more turns")
	hangs.Store(false)
	release()
	c.Eventually(func() bool { return c.client.isAvoided("a-1") }, "5s").Should(BeFalse())
}

// Guards against turns that are lost, changed or taken for ones that never were, in random sequences of restarts, losses of
// power of all hosts, lost disks of two hosts, and outages of the store.
func TestRandomFaultsLoseNoTurn(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runRandomFaults(t, seed) })
	}
}

func runRandomFaults(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 7))
	c := newCluster(t, "a-1", "b-1", "c-1", "a-2", "b-2")
	var mu sync.Mutex
	prompts := map[string]string{} // of acknowledged turns
	programs := map[string]string{}
	ctx, stop := context.WithCancel(context.Background())
	var writers sync.WaitGroup
	for w := range 4 {
		writers.Go(func() {
			program, previous, prompt := fmt.Sprint("p", w), "", ""
			for i := 0; ctx.Err() == nil; i++ {
				id := fmt.Sprintf("%s-%d", program, i)
				if err := c.keep(program, id, previous); err != nil {
					if previous != "" && isNotFound(err) {
						t.Errorf("turn %s: %v", previous, err)
					}
					sleep(ctx, 20*time.Millisecond)
					continue
				}
				prompt += fmt.Sprintf("in %s;out %s\n", id, id)
				previous = id
				mu.Lock()
				prompts[id], programs[id] = prompt, program
				mu.Unlock()
				if i%25 == 24 {
					program, previous, prompt = fmt.Sprintf("p%d-%d", w, i), "", ""
				}
				sleep(ctx, 5*time.Millisecond)
			}
		})
	}
	all := func() []string {
		mu.Lock()
		defer mu.Unlock()
		var ids []string
		for id := range prompts {
			ids = append(ids, id)
		}
		return ids
	}
	for range 10 {
		sleep(ctx, time.Duration(random.IntN(300))*time.Millisecond)
		d := c.disks[random.IntN(len(c.disks))]
		switch random.IntN(4) {
		case 0:
			c.kill(d)
			sleep(ctx, time.Duration(random.IntN(600))*time.Millisecond)
			c.start(d)
		case 1:
			for _, d := range c.disks {
				c.losePower(d, random)
			}
			for _, d := range c.disks {
				c.start(d)
			}
		case 2:
			c.expectCopies(all(), 3) // the hosts have recovered from the loss before
			first, second := random.IntN(len(c.disks)), random.IntN(len(c.disks))
			c.replaceDisk(c.disks[first])
			if second != first {
				c.replaceDisk(c.disks[second])
			}
		case 3:
			c.store.SetOutage(true)
			c.kill(d)
			c.start(d)
			sleep(ctx, 300*time.Millisecond)
			c.store.SetOutage(false)
		}
	}
	stop()
	writers.Wait()
	ids := all()
	t.Logf("%d turns", len(ids))
	c.Expect(len(ids)).To(BeNumerically(">", 20))
	c.expectCopies(ids, 3)
	for _, id := range ids {
		var chain Chain
		c.Eventually(func() (err error) { chain, err = c.load(id, programs[id]); return err }, "5s").Should(Succeed(), id)
		c.Expect(string(chain.Prompt)).To(Equal(prompts[id]))
	}
}

func isNotFound(err error) bool { return errors.Is(err, ErrNotFound) }

// Guards against a folder of the engine that a loss of power removes with all turns in it, because the process that created
// it ended before it synced the folder above.
func TestFolderOfTheEngineSurvivesALossOfPower(t *testing.T) {
	c := newCluster(t, "a-1", "b-1", "c-1")
	d := c.disks[0]
	c.kill(d)
	d.fs = vfs.NewCrashableMem()
	c.Expect(d.fs.MkdirAll("data/"+engineFolder, 0o755)).To(Succeed())
	c.start(d)
	c.Eventually(func() bool { return d.host.shelf.Load() != nil && c.keep("p", "t1", "") == nil }, "5s").Should(BeTrue())
	c.Eventually(func() int { return held(d) }, "5s").Should(Equal(1))
	_ = d.host.node.Close()
	after := d.fs.CrashClone(vfs.CrashCloneCfg{})
	c.kill(d)
	d.fs = after
	c.start(d)
	c.Eventually(func() int { return held(d) }, "5s").Should(Equal(1))
	c.Expect(d.host.shelf.Load().disk.isNew).To(BeFalse())
}
