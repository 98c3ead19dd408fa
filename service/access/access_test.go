package access_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/wire"
	core "github.com/hyssopreel/hyssopreel/core/access"
	"github.com/hyssopreel/hyssopreel/core/routing"
	"github.com/hyssopreel/hyssopreel/service/access"
)

// peer is a host with a service.
type peer struct {
	*access.Service
	address string
	table   atomic.Pointer[routing.Table]
	peers   []string
	mayRead bool
	// caughtUpFrom holds the peers whose copies it took over, and reads counts its reads of the store.
	caughtUpFrom chan string
	reads        atomic.Int32
}

// startPeer starts a host that asks the peers for facts, or lists the configuration itself if there are none.
func startPeer(t *testing.T, peers ...string) *peer {
	t.Helper()
	node := wire.NewNode(wire.Options{ProcessName: t.Name()})
	address, err := node.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{address: address.String(), peers: peers, caughtUpFrom: make(chan string, 10)}
	p.table.Store(routing.NewTable(1, nil, nil, routing.Limits{}).WithTeams([]routing.Team{{Name: "blue"}}))
	p.Service = access.New(access.Options{
		Node: node, RevocationDelay: 5 * time.Second, Table: p.table.Load,
		Peers:   func() []string { return p.peers },
		Lists:   func() bool { return len(p.peers) == 0 },
		MayRead: func() bool { return p.mayRead },
		Read:    func(context.Context) (uint64, error) { p.reads.Add(1); return 1, nil },
		CatchUp: func(address string) { p.caughtUpFrom <- address },
	})
	t.Cleanup(func() { _ = node.Close() })
	return p
}

func (p *peer) run(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
}

// Guards against hosts that do not pass facts on, and against a host that takes an old fact for a new one.
func TestFactsArePassedOn(t *testing.T) {
	g := NewWithT(t)
	source := startPeer(t)
	watcher := startPeer(t, source.address)
	follower := startPeer(t, watcher.address)
	for _, p := range []*peer{source, watcher, follower} {
		p.Applied(1)
		p.run(t)
	}
	g.Expect(follower.Age()).To(Equal(core.NeverConfirmed))
	source.Listed(clock.SinceBoot()-time.Second, 1)
	g.Eventually(follower.Age, "5s", "5ms").Should(And(BeNumerically(">=", time.Second), BeNumerically("<", 4*time.Second)))
	source.Listed(clock.SinceBoot(), 1)
	g.Eventually(follower.Age, "5s", "5ms").Should(BeNumerically("<", time.Second))
}

// Guards against a host with a stale watch that hears of a newer configuration and waits for the watch.
func TestHostCatchesUpWithThePeerThatTellsOfANewerConfiguration(t *testing.T) {
	g := NewWithT(t)
	source := startPeer(t)
	source.Applied(2)
	p := startPeer(t, source.address)
	p.Applied(1)
	p.run(t)
	source.Listed(clock.SinceBoot(), 2)
	g.Eventually(p.caughtUpFrom, "5s").Should(Receive(Equal(source.address)))
	g.Expect(p.Age()).To(Equal(core.NeverConfirmed), "the host does not have the configuration yet")
	p.Applied(2)
	g.Expect(p.Age()).To(BeNumerically("<", 5*time.Second))
}

// Guards against a host that is cut off from its peers and has access to the store, and against calls on the store by each
// host while the store is unavailable to all.
func TestStoreIsReadOnlyIfPeersDoNotAnswer(t *testing.T) {
	g := NewWithT(t)
	cutOff := startPeer(t, "127.0.0.1:1")
	cutOff.Applied(1)
	cutOff.run(t)
	source := startPeer(t)
	served := startPeer(t, source.address)
	served.Applied(1)
	served.run(t)
	g.Eventually(cutOff.Age, "5s", "5ms").Should(BeNumerically("<", time.Second))
	g.Eventually(cutOff.reads.Load, "10s", "5ms").Should(BeNumerically(">=", 2), "it reads again when the fact is old")
	g.Expect(served.reads.Load()).To(BeZero())
}
