package ingress

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/common/settings"
	"github.com/hyssopreel/hyssopreel/core/fleet"
	"github.com/hyssopreel/hyssopreel/core/routing"
	"github.com/hyssopreel/hyssopreel/service/access"
)

const (
	// maxConfirmPeers is the number of hosts that are asked in turn when the configuration was last confirmed.
	maxConfirmPeers = 3
	// confirmAtStartTimeout is how long a starting host waits for that before it listens for callers: it may start in an
	// outage of the store, in which it serves the routes without keys.
	confirmAtStartTimeout = time.Second
)

// newAccess returns the service that authorizes requests at this host.
func (h *Host) newAccess(s *settings.EntryHost) *access.Service {
	return access.New(access.Options{
		Node:            h.node,
		RevocationDelay: s.Promises.RevocationDelay,
		ConfigDelay:     s.Promises.ConfigDelay,
		Table:           func() *routing.Table { return h.ingress.table.Load() },
		Peers:           h.confirmPeers,
		Lists:           h.pollsKind(h.adapter.KindConfig),
		MayRead:         func() bool { return h.hosts.IsWatcher() && h.adapter.StoreAvailable() },
		Read:            h.readConfig,
		CatchUp: func(peer string) {
			if h.hosts.IsWatcher() { // the others follow one
				h.heartbeats.informers[h.adapter.KindConfig].RelistFrom(peer)
			}
		},
	})
}

// needsKeys reports whether the configuration has teams.
func (h *Host) needsKeys() bool {
	table := h.ingress.table.Load()
	return table != nil && table.HasTeams()
}

// confirmPeers returns the addresses of the hosts to ask: those that this host follows or, if it watches the store, the
// watchers, of which the first one lists the configuration at intervals.
func (h *Host) confirmPeers() []string {
	if !h.heartbeats.informers[KindHosts].HasSynced() || h.isFirstStart() {
		return h.heartbeats.otherSeeds()
	}
	hosts := h.hosts.Followed()
	if h.hosts.IsWatcher() {
		hosts = fleet.RendezvousOrder(h.hosts.Roles().Watchers, h.adapter.KindConfig)
	}
	var out []string
	for _, host := range hosts {
		if host.Name != h.self.Name && len(out) < maxConfirmPeers {
			out = append(out, host.PeerAddress)
		}
	}
	return out
}

// readConfig reads the configuration from the store, directly or through a peer, and puts it in force.
func (h *Host) readConfig(ctx context.Context) (revision uint64, err error) {
	o, err := h.store.Get(ctx, h.adapter.KindConfig, h.adapter.ConfigName)
	if errors.Is(err, objectapi.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	h.applyConfig(objectapi.Change{Object: o})
	return uint64(o.Version), nil
}

// configListed records that the store was listed at requestedAt.
func (h *Host) configListed(requestedAt time.Duration, objects []objectapi.Object) {
	revision := uint64(0)
	for _, o := range objects {
		if o.Name == h.adapter.ConfigName {
			revision = uint64(o.Version)
		}
	}
	h.access.Listed(requestedAt, revision)
}
