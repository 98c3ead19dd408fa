package ingress

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/settings"
	"github.com/hyssopreel/hyssopreel/core/access"
	"github.com/hyssopreel/hyssopreel/core/fleet"
	corequota "github.com/hyssopreel/hyssopreel/core/quota"
	"github.com/hyssopreel/hyssopreel/service/quota"
)

// keeperHandoverMargin is how much longer than a lost host is not noticed, and its leases last, a new keeper of accounts
// grants nothing: reports of other hosts take a heartbeat to arrive.
const keeperHandoverMargin = 100 * time.Millisecond

// newQuotas returns the service that keeps teams within their quotas.
func (h *Host) newQuotas(s *settings.EntryHost, scope tally.Scope) *quota.Service {
	bounds := corequota.Bounds{Window: s.Promises.QuotaWindow, Tolerance: s.Promises.QuotaTolerance, Slack: s.Promises.QuotaSlack}
	return quota.New(quota.Options{
		Self:   h.self.Name,
		Node:   h.node,
		Bounds: bounds,
		Scope:  scope,
		Limit: func(name string) (corequota.Limit, bool) {
			table := h.ingress.table.Load()
			if table == nil {
				return corequota.Limit{}, false
			}
			team := table.Team(name)
			if team == nil || team.RatePerSecond <= 0 {
				return corequota.Limit{}, false
			}
			return corequota.Limit{PerSecond: team.RatePerSecond, Burst: team.Burst}, true
		},
		Keepers: h.quotaKeepers,
		KeptFor: func(team string) (kept time.Duration, since int64, handover time.Duration, ok bool) {
			h.keeperTenure.update()
			kept, since, ok = h.keeperTenure.keptFor(team)
			return kept, since, h.hosts.Timeout() + bounds.LeaseTime() + keeperHandoverMargin, ok
		},
	})
}

// quotaKeepers returns the hosts that may keep the account of a team: the primary hosts in rendezvous order, those first
// that this host reaches.
func (h *Host) quotaKeepers(team string) []quota.Peer {
	roles := h.hosts.Roles()
	isHome := func(host fleet.Host) bool {
		return slices.ContainsFunc(roles.Homes, func(home fleet.Host) bool { return home.Name == host.Name })
	}
	var out, unreachable []quota.Peer
	for _, host := range fleet.RendezvousOrder(roles.Primaries, team) {
		peer := quota.Peer{Name: host.Name, Address: host.PeerAddress}
		if isHome(host) {
			out = append(out, peer)
		} else {
			unreachable = append(unreachable, peer)
		}
	}
	return append(out, unreachable...)
}

// keeperTenure tracks since when this host has kept accounts. It is safe for concurrent use.
type keeperTenure struct {
	self  string
	hosts *Hosts

	mu        sync.Mutex
	tenure    fleet.Tenure
	updatedAt time.Duration
}

// update records which hosts keep accounts now. A host that stood still for as long as others take to notice that has lost
// all accounts, because another one may have kept them in the meantime.
func (k *keeperTenure) update() {
	read(k.hosts, func(v *fleet.View) struct{} {
		k.mu.Lock()
		defer k.mu.Unlock()
		now, sinceBoot := time.Now(), clock.SinceBoot()
		if k.updatedAt > 0 && sinceBoot-k.updatedAt > v.Timeout() {
			k.tenure.UpdateOwners(now, nil)
		}
		k.updatedAt = sinceBoot
		k.tenure.UpdateOwners(now, v.Keepers(now))
		return struct{}{}
	})
}

// keptFor returns how long this host has kept the account of a key, and since when, as a number that is 0 if that is longer
// than it remembers.
func (k *keeperTenure) keptFor(key string) (kept time.Duration, since int64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	at, ok := k.tenure.OwnedSince(k.self, key)
	if at.IsZero() {
		return maxTenure, 0, ok
	}
	return time.Since(at), at.UnixNano(), ok
}

// maxTenure is the time for which a host has kept an account if that is longer than it remembers.
const maxTenure = time.Hour

// maxShownTeams bounds the teams that operators are shown.
const maxShownTeams = 100

// addTeams adds the age of the configuration and the quotas of teams to the view for operators.
func (h *Host) addTeams(v *api.FleetView) {
	v.ConfirmedMS, v.Teams = -1, []api.TeamQuota{}
	if !h.needsKeys() {
		return
	}
	if age := h.access.Age(); age != access.NeverConfirmed {
		v.ConfirmedMS = age.Milliseconds()
	}
	table := h.ingress.table.Load()
	for _, usage := range h.quotas.Usage() {
		shown := api.TeamQuota{Team: usage.Team, Keys: []string{}, Keeper: usage.Keeper, Used: usage.Used, Refused: usage.Refused, Tokens: usage.Tokens}
		if team := table.Team(usage.Team); team != nil {
			shown.PerSecond, shown.Burst = team.RatePerSecond, team.Burst
			for _, key := range team.Keys {
				shown.Keys = append(shown.Keys, key.Fingerprint())
			}
		}
		v.Teams = append(v.Teams, shown)
	}
	slices.SortFunc(v.Teams, func(a, b api.TeamQuota) int { return cmp.Compare(a.Team, b.Team) })
	v.Teams = v.Teams[:min(len(v.Teams), maxShownTeams)]
}
