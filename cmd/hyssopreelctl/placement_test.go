package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/api"
)

// Guards against a query that lacks a property of the request, and a table that hides why a server is not chosen.
var _ = ginkgo.Describe("explain-placement", func() {
	view := api.PlacementView{
		Host: "a-1", FailureDomain: "a", Service: "s", TransferBytes: 9000, Choice: api.PlacementChoice{Server: "i-1", Reason: "home"},
		Domains: []api.PlacementDomain{
			{Name: "a", Load: 11, FromHome: 11, Slots: 12},
			{Name: "b", Load: 2, Slots: 12, Share: 0.25, Choice: &api.PlacementChoice{Server: "i-2", Reason: "shortage"}},
		},
		Candidates: []api.PlacementCandidate{
			{Server: "i-1", FailureDomain: "a", Load: 5, Slots: 6, WorkTime: 1.7, CostsMS: map[string]float64{"load": 8.5, "own work": 2.1}, TotalMS: 10.6},
			{Server: "i-3", FailureDomain: "a", RejectedBy: []string{"draining"}},
		},
	}

	ginkgo.It("asks the host and shows its answer", func() {
		var query string
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			query = r.URL.String()
			if r.URL.Query().Get("service") != "s" {
				http.Error(w, "service is missing", http.StatusBadRequest)
				return
			}
			_ = json.NewEncoder(w).Encode(view)
		}))
		defer server.Close()
		ctl := func(args ...string) result {
			var out, errOut bytes.Buffer
			code := run(context.Background(), append([]string{"explain-placement", server.Listener.Addr().String()}, args...), strings.NewReader(""), &out, &errOut)
			return result{code, out.String(), errOut.String()}
		}
		r := ctl("--service", "s", "--prompt-tokens", "2000", "--body-bytes", "8000", "--cache-server", "i-1", "--cached-tokens", "500", "--non-retryable", "--object", "o7")
		gomega.Expect(r.code).To(gomega.Equal(exitOK), r.errOut)
		gomega.Expect(query).To(gomega.Equal("/v1/placement?body_bytes=8000&cache_server=i-1&cached_tokens=500&non_retryable=true&object=o7&prompt_tokens=2000&service=s"))
		gomega.Expect(r.out).To(gomega.MatchRegexp(`(?s)server i-1 \(home\), for 9000 bytes.*domain b: .*share of 0.25 may leave for it: server i-2 \(shortage\)`))
		gomega.Expect(r.out).To(gomega.MatchRegexp(`(?m)^i-1 +a +5.0 +6 +1.70 .*load=8.5,own-work=2.1`))
		gomega.Expect(r.out).To(gomega.MatchRegexp(`(?m)^i-3 .*draining$`))
		var decoded api.PlacementView
		gomega.Expect(json.Unmarshal([]byte(ctl("--service", "s", "-o", "json").out), &decoded)).To(gomega.Succeed())
		gomega.Expect(decoded).To(gomega.Equal(view))
		r = ctl("--service", "x")
		gomega.Expect(r.code).To(gomega.Equal(exitNotRun))
		gomega.Expect(r.errOut).To(gomega.ContainSubstring("service is missing"))
	})
})
