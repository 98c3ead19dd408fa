package turns

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/hyssopreel/hyssopreel/api"
)

// newOperatorHandler serves the metrics, and this host's view of the retained turns.
func (h *Host) newOperatorHandler() http.Handler {
	router := chi.NewRouter()
	router.Get("/v1/turns", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(h.view()) // fails only if the operator has left
	})
	router.Handle("/*", h.metrics.Handler())
	return router
}

func (h *Host) view() api.DiskView {
	self := h.members.own()
	s := h.shelf.Load()
	pending, oldest := h.copier.pending()
	copied := h.copier.totals()
	v := api.DiskView{
		Host: self.Name, Incarnation: self.Incarnation, Disk: self.DiskID, State: string(self.State), Complete: s.hasAllTurns(),
		PendingCopies: pending, OldestPendingMS: oldest.Milliseconds(), CopiedTurns: copied.turns, CopiedBytes: copied.bytes,
	}
	s.mu.Lock()
	v.Turns, v.Bytes, v.UsedBytes, v.LimitBytes, v.DamagedTurns = s.index.Len(), s.index.Bytes(), s.usedBytes, s.diskBytes, s.damaged
	v.Full = s.isFull(0, 1)
	s.mu.Unlock()
	hosts, _, _ := h.members.current()
	for _, o := range hosts {
		v.Hosts = append(v.Hosts, api.DiskMember{Name: o.Name, FailureDomain: o.FailureDomain, State: string(o.State), Disk: o.DiskID, Peer: o.PeerAddress})
	}
	return v
}

func (h *Host) reportMetrics(s *shelf) {
	v := h.view()
	scope := h.metrics.Scope()
	scope.Gauge("retained_turns").Update(float64(v.Turns))
	scope.Gauge("retained_bytes").Update(float64(v.Bytes))
	scope.Gauge("retained_turns_disk_bytes").Update(float64(v.UsedBytes))
	scope.Gauge("retained_turns_pending_copies").Update(float64(v.PendingCopies))
	scope.Gauge("retained_turns_oldest_pending_seconds").Update(float64(v.OldestPendingMS) / 1000)
	scope.Gauge("retained_turns_damaged").Update(float64(v.DamagedTurns))
	scope.Gauge("retained_turns_copied").Update(float64(v.CopiedTurns))
}
