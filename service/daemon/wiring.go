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

// processName tells this process from earlier ones of the same host in the hello frames.
func processName(h ids.Host) string {
	return string(h) + "/" + strconv.FormatUint(rand.Uint64(), 36)
}

func (d *Daemon) buildMembership() {
	s := d.settings
	d.members = membership.New(membership.Options{
		Self: d.selfMember(),
		Settings: coremembership.Settings{
			LeaseDuration: s.Lease.Duration, RenewInterval: s.Lease.Renew, HeartbeatInterval: s.Membership.Heartbeat, SuspicionTimeout: s.Membership.SuspectAfter,
		},
		StoreTimeout: s.Platform.Timeout, Store: d.store, Transport: d.node, Queue: d.rt, Clock: d.clock,
		Hooks: membership.Hooks{
			Ticket:          func() uint64 { return d.configuration.Number() },
			TicketReceived:  func(m membership.Member, n uint64) { d.configuration.PeerNumber(m.PeerAddress, n) },
			LeavingDigest:   func() uint64 { return d.backends.LeavingDigest() },
			LeavingReceived: func(m membership.Member, n uint64) { d.backends.LeavingReceived(m, n) },
			DeleteJournal:   func(ctx context.Context, j ids.Journal) error { return home.Delete(ctx, d.store, j) },
		},
		Log: logging.Named{},
	})
	d.node.Handle(wire.TypeHeartbeat, func(ctx context.Context, r *wire.Request) {
		var b coremembership.Heartbeat
		if r.Decode(&b) == nil {
			_ = r.Answer(d.members.HandleHeartbeat(ctx, b))
		}
	})
	d.node.Handle(wire.TypeMember, func(ctx context.Context, r *wire.Request) {
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

// configurationView shows the membership to the configuration service.
type configurationView struct{ view membership.View }

func (v configurationView) Self() configuration.Host { return configurationHost(v.view.Self()) }

func (v configurationView) Rank(key string) []configuration.Host {
	ranked := v.view.Rank(key)
	out := make([]configuration.Host, len(ranked))
	for i, m := range ranked {
		out[i] = configurationHost(m)
	}
	return out
}

func configurationHost(m membership.Member) configuration.Host {
	return configuration.Host{Name: m.Name, FailureDomain: m.FailureDomain, PeerAddress: m.PeerAddress}
}

func (d *Daemon) buildConfiguration() {
	d.configuration = configuration.New(d.rt, d.store, d.node, configurationView{d.members}, configuration.Options{
		DataFolder: d.settings.Host.DataFolder, Report: logging.Named{}.Event,
	})
	d.node.Handle(wire.TypeTicket, func(_ context.Context, r *wire.Request) {
		var p configstate.TicketPushed
		if r.Decode(&p) == nil {
			d.configuration.HandlePush(p)
		}
	})
	d.node.Handle(wire.TypeTicketFetch, func(_ context.Context, r *wire.Request) {
		var f configuration.Fetch
		if r.Decode(&f) == nil {
			_ = r.Answer(d.configuration.HandleFetch(f))
		}
	})
}

// newStore returns the platform's store; a host that alone lost access to it goes through its peers.
func (d *Daemon) newStore() objectapi.Store {
	s := d.settings
	d.local = objectapi.NewHTTPStore(s.Platform.Address, string(s.Host.Name), s.Platform.Timeout)
	return &objectapi.Relay{Local: d.local, Peers: d.relay}
}

// relayPeers is how many peers a store call is offered to before it counts as failed.
const relayPeers = 2

// relay makes a store call through the peers that rank first, until one of them reaches the store. A call that
// may have run at one peer is not offered to the next.
func (d *Daemon) relay(ctx context.Context, q objectapi.RelayRequest) (objectapi.RelayAnswer, error) {
	self := d.members.Self()
	var peers []string
	for _, m := range d.members.Rank("relay:" + string(self.Name)) {
		if m.Name != self.Name && len(peers) < relayPeers {
			peers = append(peers, m.PeerAddress)
		}
	}
	return relay.Call(ctx, d.node, peers, q)
}

// leavingPeers exchanges leaving notices with peers.
type leavingPeers struct{ node *wire.Node }

func (p leavingPeers) Leaving(ctx context.Context, to membership.Member, m backends.LeavingMessage) (backends.LeavingMessage, error) {
	var answer backends.LeavingMessage
	err := p.node.Call(ctx, to.PeerAddress, wire.TypeLeaving, m, &answer)
	return answer, err
}

// lookup asks a home which of the programs are open.
type lookup struct {
	Programs []ids.Program `msgpack:"p"`
}

type lookupAnswer struct {
	Alive []ids.Program `msgpack:"a"`
}

func (d *Daemon) buildBackends() {
	s := d.settings
	d.backends = backends.New(backends.Options{
		Settings: backends.Settings{ReconcileEvery: s.Limits.ReconcileEvery},
		Lister:   d.local, View: d.members, Queue: d.rt, Peers: leavingPeers{d.node}, Clock: d.clock, Log: logging.Named{},
		Hooks: backends.Hooks{
			Pool: func(name string) (config.Pool, bool) {
				if p := d.configuration.Current().Objects.Pools[name]; p != nil {
					return *p, true
				}
				return config.Pool{}, false
			},
			Loading:       func(worker string) bool { return d.reports.loading(worker) },
			ProgramStates: d.programStates,
		},
	})
	d.node.Handle(wire.TypeLeaving, func(ctx context.Context, r *wire.Request) {
		var m backends.LeavingMessage
		if r.Decode(&m) == nil {
			_ = r.Answer(d.backends.HandleLeaving(ctx, m))
		}
	})
	d.node.Handle(wire.TypeLookup, func(ctx context.Context, r *wire.Request) {
		var q lookup
		if r.Decode(&q) != nil {
			return
		}
		alive, err := d.home.Alive(ctx, q.Programs)
		if err != nil {
			_ = r.Fail(err)
			return
		}
		_ = r.Answer(lookupAnswer{Alive: alive})
	})
	d.node.Handle(wire.TypeRelay, relay.NewHandler(d.local))
}

// programStates asks a home, which may be this host, which programs are open. Programs are missing from the
// answer if the home was not reached.
func (d *Daemon) programStates(ctx context.Context, m membership.Member, programs []ids.Program) map[ids.Program]bool {
	var alive []ids.Program
	var err error
	if m.Journal == d.members.Self().Journal {
		alive, err = d.home.Alive(ctx, programs)
	} else {
		var answer lookupAnswer
		err = d.node.Call(ctx, m.PeerAddress, wire.TypeLookup, lookup{Programs: programs}, &answer)
		alive = answer.Alive
	}
	if err != nil {
		return nil
	}
	out := make(map[ids.Program]bool, len(programs))
	for _, p := range programs {
		out[p] = false
	}
	for _, p := range alive {
		out[p] = true
	}
	return out
}

// groupsPoll is how often the number of worker groups of each pool is looked at.
const groupsPoll = time.Second

// followGroups tells the program reducer how many groups each pool has.
func (d *Daemon) followGroups(ctx context.Context) {
	t := time.NewTicker(groupsPoll)
	defer t.Stop()
	last := map[string]int{}
	for {
		groups := map[string]int{}
		for name := range d.configuration.Current().Objects.Pools {
			groups[name] = len(d.backends.Groups(name))
		}
		if !maps.Equal(groups, last) {
			last = groups
			d.rt.Publish(program.GroupsChanged{GroupCounts: maps.Clone(groups)})
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
