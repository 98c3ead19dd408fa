package ingress

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/core/placement"
)

// explainPlacement returns where a request would go now, and why. It neither sends the request nor changes any state.
func (s *Servers) explainPlacement(q PlacementQuery) api.PlacementView {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var candidates []placement.Candidate
	for _, b := range s.byService[q.Service] {
		c := s.candidate(b, q, now)
		if b.info.ID == q.CacheServer {
			c.CachedTokens = min(q.CachedTokens, q.Request.PromptTokens)
		}
		candidates = append(candidates, c)
	}
	request := q.Request
	if q.Object != "" {
		placement.RankForObject(&request, q.Object, candidates)
	}
	v := api.PlacementView{FailureDomain: request.FailureDomain, Service: q.Service}
	if traffic, ok := s.traffic[q.Service]; ok {
		request.TransferBytes += int(traffic.responseBytes)
		v.Leaving = traffic.spill.Leaving()
		for _, d := range traffic.spill.States() {
			domain := api.PlacementDomain{Name: d.Name, Load: d.Load, FromHome: d.FromHome, Slots: d.Capacity, Share: d.Share}
			if d.Share > 0 {
				open := request
				open.OpenDomain = d.Name
				choice := choose(open, candidates)
				domain.Choice = &choice
			}
			v.Domains = append(v.Domains, domain)
		}
	}
	slices.SortFunc(v.Domains, func(a, b api.PlacementDomain) int { return cmp.Compare(a.Name, b.Name) })
	v.TransferBytes, v.Choice = request.TransferBytes, choose(request, candidates)
	policy := placement.DefaultPolicy()
	for i := range candidates {
		c := &candidates[i]
		e := policy.Explain(&request, c)
		v.Candidates = append(v.Candidates, api.PlacementCandidate{
			Server: c.Server.ID, FailureDomain: c.Server.FailureDomain, Load: c.Load, Slots: c.Server.Slots, WorkTime: c.WorkTime,
			CachedTokens: c.CachedTokens, RejectedBy: e.RejectedBy, CostsMS: e.Costs, TotalMS: e.Total,
		})
	}
	slices.SortFunc(v.Candidates, func(a, b api.PlacementCandidate) int {
		return cmp.Or(cmp.Compare(min(len(a.RejectedBy), 1), min(len(b.RejectedBy), 1)), cmp.Compare(a.TotalMS, b.TotalMS), cmp.Compare(a.Server, b.Server))
	})
	return v
}

func choose(r placement.Request, candidates []placement.Candidate) api.PlacementChoice {
	for n, p := range []placement.Policy{placement.DefaultPolicy(), placement.AllowEjectedPolicy()} {
		if i := p.Choose(r, candidates); i >= 0 {
			return api.PlacementChoice{Server: candidates[i].Server.ID, Reason: domainReason(p, r, candidates, i), EjectedAllowed: n > 0}
		}
	}
	return api.PlacementChoice{}
}

// serveExplainPlacement serves GET /v1/placement. The query has service, and optionally prompt_tokens, body_bytes,
// cache_server, cached_tokens, object, and non_retryable=true.
func (h *Host) serveExplainPlacement(w http.ResponseWriter, r *http.Request) {
	values := r.URL.Query()
	q := PlacementQuery{Service: values.Get("service"), CacheServer: values.Get("cache_server"), Object: values.Get("object")}
	q.Request = placement.Request{FailureDomain: h.self.FailureDomain, NonRetryable: values.Get("non_retryable") == "true"}
	var err error
	for name, to := range map[string]*int{
		"prompt_tokens": &q.Request.PromptTokens, "body_bytes": &q.Request.TransferBytes, "cached_tokens": &q.CachedTokens,
	} {
		if text := values.Get(name); text != "" && err == nil {
			if *to, err = strconv.Atoi(text); err != nil || *to < 0 {
				err = errors.Newf("%s is %q, not a number from 0 on", name, text)
			}
		}
	}
	if q.Service == "" {
		err = errors.New("service is missing")
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if table := h.ingress.table.Load(); table != nil {
		q.MaxConns = table.Services[q.Service].MaxConns
	}
	v := h.servers.explainPlacement(q)
	v.Host = h.self.Name
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the operator has left
}
