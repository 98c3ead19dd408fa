package daemon

import (
	"context"
	"maps"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/common/wire"
	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/core/configstate"
	coremembership "github.com/hyssopreel/hyssopreel/core/membership"
	"github.com/hyssopreel/hyssopreel/core/program"
	"github.com/hyssopreel/hyssopreel/service/backends"
	"github.com/hyssopreel/hyssopreel/service/configuration"
	"github.com/hyssopreel/hyssopreel/service/home"
	"github.com/hyssopreel/hyssopreel/service/membership"
	"github.com/hyssopreel/hyssopreel/service/relay"
)

// newProcessName returns a name that distinguishes this process from earlier ones of the same host.
func newProcessName(h ids.Host) string {
	return string(h) + "/" + strconv.FormatUint(rand.Uint64(), 36)
}

func (d *Daemon) buildMembership() {
	s := d.settings
	d.members = membership.New(membership.Options{
		Self: d.selfMember(),
		Settings: coremembership.Settings{
			LeaseDuration: s.Lease.Duration, RenewInterval: s.Lease.RenewInterval, HeartbeatInterval: s.Membership.HeartbeatInterval, SuspicionTimeout: s.Membership.SuspicionTimeout,
		},
		StoreTimeout: s.Platform.Timeout, Store: d.store, Transport: d.node, Runtime: d.rt, Clock: d.clock,
		Hooks: membership.Hooks{
			TicketNumber:    func() uint64 { return d.configuration.TicketNumber() },
			TicketReceived:  func(m membership.Member, n uint64) { d.configuration.HandlePeerNumber(m.PeerAddress, n) },
			LeavingDigest:   func() uint64 { return d.backends.LeavingDigest() },
			LeavingReceived: func(m membership.Member, n uint64) { d.backends.HandleLeavingDigest(m, n) },
			DeleteJournal:   func(ctx context.Context, j ids.Journal) error { return home.DeleteJournal(ctx, d.store, j) },
		},
		Log: logging.NamedLogger{},
	})
	d.node.Handle(wire.TypeHeartbeat, func(ctx context.Context, r *wire.Request) {
		var heartbeat coremembership.Heartbeat
		if r.Decode(&heartbeat) == nil {
			_ = r.Answer(d.members.HandleHeartbeat(ctx, heartbeat))
		}
	})
	d.node.Handle(wire.TypeMembership, func(ctx context.Context, r *wire.Request) {
		var m membership.MemberMessage
		if r.Decode(&m) != nil {
			return
		}
		answer := d.members.HandleMember(ctx, m)
		if !r.OneWay() {
			_ = r.Answer(answer)
		}
	})
	d.node.Handle(wire.TypeHandover, func(ctx context.Context, r *wire.Request) {
		var m membership.HandoverMessage
		if r.Decode(&m) == nil {
			d.members.HandleHandover(ctx, m)
		}
	})
}

// configurationView adapts the membership to the configuration service.
type configurationView struct{ view membership.View }

func (v configurationView) Self() configuration.Host { return configurationHost(v.view.Self()) }

func (v configurationView) RendezvousOrder(key string) []configuration.Host {
	members := v.view.RendezvousOrder(key)
	out := make([]configuration.Host, len(members))
	for i, m := range members {
		out[i] = configurationHost(m)
	}
	return out
}

func configurationHost(m membership.Member) configuration.Host {
	return configuration.Host{Name: m.Name, FailureDomain: m.FailureDomain, PeerAddress: m.PeerAddress}
}

func (d *Daemon) buildConfiguration() {
	d.configuration = configuration.New(d.rt, d.store, d.node, configurationView{d.members}, configuration.Options{
		DataFolder: d.settings.Host.DataFolder, LogEvent: logging.NamedLogger{}.Event,
	})
	d.node.Handle(wire.TypeTicket, func(_ context.Context, r *wire.Request) {
		var p configstate.TicketPushed
		if r.Decode(&p) == nil {
			d.configuration.HandleTicketPush(p)
		}
	})
	d.node.Handle(wire.TypeTicketFetch, func(_ context.Context, r *wire.Request) {
		var f configuration.FetchRequest
		if r.Decode(&f) == nil {
			_ = r.Answer(d.configuration.HandleFetch(f))
		}
	})
}

// newStore returns the platform's store. If only this host has lost access to it, requests are relayed through peers.
func (d *Daemon) newStore() objectapi.Store {
	s := d.settings
	d.localStore = objectapi.NewHTTPStore(s.Platform.Address, string(s.Host.Name), s.Platform.Timeout)
	return &objectapi.RelayStore{Local: d.localStore, RelayToPeer: d.relayStoreCall}
}

// maxRelayPeers bounds the peers to which a store request is relayed before it fails.
const maxRelayPeers = 2

// relayStoreCall relays a store request to the first peers in rendezvous order, until one of them reaches the store.
// A request that may have taken effect through one peer is not relayed to the next.
func (d *Daemon) relayStoreCall(ctx context.Context, request objectapi.RelayRequest) (objectapi.RelayAnswer, error) {
	self := d.members.Self()
	var peers []string
	for _, m := range d.members.RendezvousOrder("relay:" + string(self.Name)) {
		if m.Name != self.Name && len(peers) < maxRelayPeers {
			peers = append(peers, m.PeerAddress)
		}
	}
	return relay.Call(ctx, d.node, peers, request)
}

// noticePeers exchanges leaving notices with peers.
type noticePeers struct{ node *wire.Node }

func (p noticePeers) ExchangeNotices(ctx context.Context, to membership.Member, m backends.LeavingMessage) (backends.LeavingMessage, error) {
	var answer backends.LeavingMessage
	err := p.node.Call(ctx, to.PeerAddress, wire.TypeServersLeaving, m, &answer)
	return answer, err
}

// openProgramsQuery requests from a home which of the programs are open.
type openProgramsQuery struct {
	Programs []ids.Program `msgpack:"p"`
}

type openProgramsAnswer struct {
	Open []ids.Program `msgpack:"a"`
}

func (d *Daemon) buildBackends() {
	s := d.settings
	d.backends = backends.New(backends.Options{
		Settings: backends.Settings{ReconcileInterval: s.Limits.ReconcileInterval},
		Lister:   d.localStore, View: d.members, Runtime: d.rt, Peers: noticePeers{d.node}, Clock: d.clock, Log: logging.NamedLogger{},
		Hooks: backends.Hooks{
			PoolConfig: func(name string) (config.Pool, bool) {
				if p := d.configuration.Current().Objects.Pools[name]; p != nil {
					return *p, true
				}
				return config.Pool{}, false
			},
			WorkerLoading: func(worker string) bool { return d.workerStates.isLoading(worker) },
			OpenPrograms:  d.openPrograms,
		},
	})
	d.node.Handle(wire.TypeServersLeaving, func(ctx context.Context, r *wire.Request) {
		var m backends.LeavingMessage
		if r.Decode(&m) == nil {
			_ = r.Answer(d.backends.HandleLeavingMessage(ctx, m))
		}
	})
	d.node.Handle(wire.TypeProgramLookup, func(ctx context.Context, r *wire.Request) {
		var query openProgramsQuery
		if r.Decode(&query) != nil {
			return
		}
		open, err := d.home.OpenPrograms(ctx, query.Programs)
		if err != nil {
			_ = r.Fail(err)
			return
		}
		_ = r.Answer(openProgramsAnswer{Open: open})
	})
	d.node.Handle(wire.TypeStoreRelay, relay.NewHandler(d.localStore))
}

// openPrograms requests from a home, which may be this host, whether the programs are open. The result is nil if the
// request failed.
func (d *Daemon) openPrograms(ctx context.Context, m membership.Member, programs []ids.Program) map[ids.Program]bool {
	var open []ids.Program
	var err error
	if m.Journal == d.members.Self().Journal {
		open, err = d.home.OpenPrograms(ctx, programs)
	} else {
		var answer openProgramsAnswer
		err = d.node.Call(ctx, m.PeerAddress, wire.TypeProgramLookup, openProgramsQuery{Programs: programs}, &answer)
		open = answer.Open
	}
	if err != nil {
		return nil
	}
	out := make(map[ids.Program]bool, len(programs))
	for _, p := range programs {
		out[p] = false
	}
	for _, p := range open {
		out[p] = true
	}
	return out
}

// groupPollInterval is the interval at which the number of worker groups of each pool is checked.
const groupPollInterval = time.Second

// groupCountLoop publishes the number of groups of each pool to the program reducer whenever it changes.
func (d *Daemon) groupCountLoop(ctx context.Context) {
	t := time.NewTicker(groupPollInterval)
	defer t.Stop()
	published := map[string]int{}
	for {
		counts := map[string]int{}
		for name := range d.configuration.Current().Objects.Pools {
			counts[name] = len(d.backends.GroupNames(name))
		}
		if !maps.Equal(counts, published) {
			published = counts
			d.rt.Publish(program.GroupsChanged{GroupCounts: maps.Clone(counts)})
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
