package ingress

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/core/fleet"
	"github.com/hyssopreel/hyssopreel/service/turns"
)

// newOperatorHandler serves the metrics, and this host's view of the fleet.
func (h *Host) newOperatorHandler() http.Handler {
	router := chi.NewRouter()
	router.Get("/v1/fleet", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(h.fleetView()) // fails only if the operator has left
	})
	router.Get("/v1/placement", h.serveExplainPlacement)
	router.Handle("/*", h.metrics.Handler())
	return router
}

func (h *Host) fleetView() api.FleetView {
	now := time.Now()
	v := api.FleetView{Host: h.self.Name, Incarnation: h.self.Incarnation, Slots: h.servers.TotalSlots()}
	loads := h.servers.hostLoadTimes()
	read(h.hosts, func(view *fleet.View) struct{} {
		v.InMesh = view.Roles().InMesh
		for _, host := range view.All() {
			m := newFleetMember(view, host, now)
			m.LoadMS = ageMS(now, loads[host.Name])
			v.Members = append(v.Members, m)
		}
		return struct{}{}
	})
	for kind, informer := range h.heartbeats.informers {
		if kind == turns.KindDiskHosts && !informer.HasSynced() {
			continue // no route retains turns
		}
		v.Kinds = append(v.Kinds, api.FollowedKind{
			Kind: kind, Source: informer.currentSource(), Revision: uint64(informer.NewestRevision()), AnsweredMS: ageMS(now, informer.lastResponseTime()),
		})
	}
	v.Quarantined = h.ingress.poison.quarantined()
	h.addTeams(&v)
	v.RateLimits = h.servers.namedLimits()
	for i, limit := range v.RateLimits {
		owner, _ := h.hosts.Owner(limit.Server)
		v.RateLimits[i].Owner = owner.Name
	}
	slices.SortFunc(v.Kinds, func(a, b api.FollowedKind) int { return cmp.Compare(a.Kind, b.Kind) })
	return v
}

func newFleetMember(view *fleet.View, host fleet.Host, now time.Time) api.FleetMember {
	roles := view.Roles()
	has := func(hosts []fleet.Host) bool {
		return slices.ContainsFunc(hosts, func(other fleet.Host) bool { return other.Name == host.Name })
	}
	m := api.FleetMember{
		Name: host.Name, Incarnation: host.Incarnation, FailureDomain: host.FailureDomain, State: api.MemberUp,
		Active: has(roles.Active), Home: has(roles.Homes), Watcher: has(roles.Watchers), HeardMS: ageMS(now, view.HeardAt(host.Name)),
	}
	since, _ := view.ListedAt(host.Name)
	unreachableSince, isUnreachable := view.UnreachableSince(host.Name)
	switch {
	case isUnreachable:
		m.State, since = api.MemberUnreachable, unreachableSince
	case host.Draining:
		m.State = api.MemberDraining
	}
	m.StateForMS = ageMS(now, since)
	return m
}

// ageMS returns the time since t in milliseconds, or -1 if t is zero.
func ageMS(now, t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return now.Sub(t).Milliseconds()
}
