package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/core/configstate"
	"github.com/hyssopreel/hyssopreel/core/event"
	"github.com/hyssopreel/hyssopreel/service/runtime"
)

func TestCLI(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "hyssopreelctl")
}

type result struct {
	code        int
	out, errOut string
}

var _ = ginkgo.Describe("hyssopreelctl", func() {
	var mux *http.ServeMux
	var url string

	ginkgo.BeforeEach(func() {
		mux = http.NewServeMux()
		s := httptest.NewServer(mux)
		ginkgo.DeferCleanup(s.Close)
		url = s.URL
	})

	ctl := func(stdin string, args ...string) result {
		var out, errOut bytes.Buffer
		code := run(context.Background(), append([]string{"--host", url}, args...), strings.NewReader(stdin), &out, &errOut)
		return result{code, out.String(), errOut.String()}
	}
	serve := func(pattern string, v any) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(v) })
	}
	file := func(name, content string) string {
		path := filepath.Join(ginkgo.GinkgoT().TempDir(), name)
		gomega.Expect(os.WriteFile(path, []byte(content), 0o600)).To(gomega.Succeed())
		return path
	}

	// Guards against scripts that act on a wrong exit code.
	ginkgo.DescribeTable("exit codes of a rejected ticket", func(f *fault.Error, code int) {
		mux.HandleFunc("POST /v1/tickets", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(f.HTTPStatus())
			_ = json.NewEncoder(w).Encode(api.ErrorAnswer{Error: f})
		})
		r := ctl(`{"number": 1}`, "ticket", "apply", "-")
		gomega.Expect(r.code).To(gomega.Equal(code))
		gomega.Expect(r.errOut).To(gomega.ContainSubstring(f.Message))
		gomega.Expect(r.out).To(gomega.BeEmpty())
	},
		ginkgo.Entry("not run", fault.New(fault.CodeStoreUnavailable, "s", "the store is unavailable"), exitNotRun),
		ginkgo.Entry("unknown", fault.New(fault.CodeOutcomeUnknown, "s", "response lost").WithOutcome(fault.OutcomeUnknown), exitOutcomeUnknown),
		ginkgo.Entry("conflict", fault.New(fault.CodeTicketConflict, "s", "ticket 1 by bob"), exitConflict),
		ginkgo.Entry("done", fault.New(fault.CodeInternal, "s", "ran").WithOutcome(fault.OutcomeDone), exitRanWithError),
	)

	ginkgo.DescribeTable("wrong usage", func(args ...string) {
		gomega.Expect(ctl("", args...).code).To(gomega.Equal(exitUsage))
	},
		ginkgo.Entry("no command"),
		ginkgo.Entry("unknown command", "tickets"),
		ginkgo.Entry("missing file", "ticket", "apply"),
		ginkgo.Entry("unknown option", "host", "list", "--all"),
		ginkgo.Entry("extra argument", "host", "list", "x"),
		ginkgo.Entry("bad number", "ticket", "show", "x"),
		ginkgo.Entry("no log", "explain", "9c41d07be2a35f68"),
		ginkgo.Entry("no host", "fleet"),
		ginkgo.Entry("no host to explain a placement", "explain-placement", "--service", "s"),
		ginkgo.Entry("no service", "explain-placement", "127.0.0.1:1"),
	)

	// Guards against a command whose help lacks the example or the exit codes.
	ginkgo.It("has an example in the help of each command", func() {
		for _, c := range []string{
			"ticket apply", "ticket show", "ticket list", "program list", "program show", "program history",
			"program cancel", "host list", "host drain", "backend list", "pool list", "replay", "explain", "fleet", "turns",
			"explain-placement",
		} {
			r := ctl("", append(strings.Fields(c), "--help")...)
			gomega.Expect(r.code).To(gomega.Equal(exitOK), c)
			gomega.Expect(r.out).To(gomega.ContainSubstring("hyssopreelctl "+c), c)
		}
		gomega.Expect(ctl("", "--help").out).To(gomega.ContainSubstring("Exit codes:"))
	})

	// Guards against a ticket whose number, author or deletions do not reach the host.
	ginkgo.It("applies a ticket", func() {
		var got config.Ticket
		mux.HandleFunc("POST /v1/tickets", func(w http.ResponseWriter, r *http.Request) {
			gomega.Expect(json.NewDecoder(r.Body).Decode(&got)).To(gomega.Succeed())
			_ = json.NewEncoder(w).Encode(api.TicketAccepted{Number: got.Number})
		})
		path := file("t.json", `{"objects": {"teams": {"a": {"max_budget_tokens": 5, "max_open_programs": 1}, "b": null}}}`)
		r := ctl("", "ticket", "apply", "--number", "9", "--author", "ann", path)
		gomega.Expect(r.code).To(gomega.Equal(exitOK), r.errOut)
		gomega.Expect(got.Number).To(gomega.Equal(uint64(9)))
		gomega.Expect(got.Author).To(gomega.Equal("ann"))
		gomega.Expect(got.Objects.Teams).To(gomega.HaveKeyWithValue("b", (*config.Team)(nil)))
		gomega.Expect(got.Objects.Teams["a"].MaxBudgetTokens).To(gomega.Equal(int64(5)))
	})

	// Guards against a misspelt field that is silently ignored.
	ginkgo.It("rejects a ticket with an unknown field", func() {
		r := ctl(`{"number": 1, "objects": {"team": {}}}`, "ticket", "apply", "-")
		gomega.Expect(r.code).To(gomega.Equal(exitNotRun))
		gomega.Expect(r.errOut).To(gomega.ContainSubstring(`unknown field "team"`))
	})

	// Guards against tables with missing rows, and JSON that differs from the API's.
	ginkgo.It("lists as a table and as JSON", func() {
		pools := api.Pools{Pools: []api.Pool{{Name: "reel-lm", Kind: "engine", Model: "m", Workers: []api.PoolWorker{
			{Name: "w1", Model: "m", State: "ready"}, {Name: "w2", State: "loading", Order: "load_model m v2"},
		}}}}
		serve("GET /v1/pools", pools)
		serve("GET /v1/members", api.Members{Members: []api.Member{{Name: "a-1", State: "up", Ticket: 7}}})
		serve("GET /v1/backends", api.Backends{Backends: []api.Backend{{Name: "w1", Pool: "p"}, {Name: "w2", Pool: "q"}}})
		serve("GET /v1/tickets", api.Tickets{InForce: 2, Tickets: []api.TicketSummary{{Number: 2, Author: "ann"}}})
		serve("GET /v1/tickets/2", config.Ticket{Number: 2, Author: "ann"})
		serve("GET /v1/programs", api.Programs{Programs: []api.ProgramStatus{{ID: "a.1-1", Team: "x"}, {ID: "a.1-2", Team: "y"}}})
		gomega.Expect(ctl("", "pool", "list").out).To(gomega.MatchRegexp(`(?m)^reel-lm  w2 .*loading  load_model m v2  -$`))
		gomega.Expect(ctl("", "host", "list").out).To(gomega.MatchRegexp(`(?m)^a-1 .* up     7 `))
		gomega.Expect(ctl("", "backend", "list", "--pool", "q").out).To(gomega.And(gomega.ContainSubstring("w2"), gomega.Not(gomega.ContainSubstring("w1"))))
		gomega.Expect(ctl("", "ticket", "list").out).To(gomega.ContainSubstring("ann"))
		gomega.Expect(ctl("", "ticket", "show").out).To(gomega.ContainSubstring(`"number": 2`))
		gomega.Expect(ctl("", "program", "list", "--team", "y").out).To(gomega.And(gomega.ContainSubstring("a.1-2"), gomega.Not(gomega.ContainSubstring("a.1-1"))))
		var decoded api.Pools
		gomega.Expect(json.Unmarshal([]byte(ctl("", "pool", "list", "-o", "json").out), &decoded)).To(gomega.Succeed())
		gomega.Expect(decoded).To(gomega.Equal(pools))
	})

	// Guards against a cancel that is sent to a host that is not the program's home.
	ginkgo.It("cancels a program and drains a host", func() {
		var requests []string
		serve("GET /v1/hosts", api.HostsAnswer{Hosts: []api.HostAddress{{Address: url}}})
		for _, p := range []string{"DELETE /v1/programs/{id}", "POST /v1/members/{host}/drain"} {
			mux.HandleFunc(p, func(w http.ResponseWriter, r *http.Request) {
				requests = append(requests, r.Method+" "+r.URL.Path)
				w.WriteHeader(http.StatusNoContent)
			})
		}
		gomega.Expect(ctl("", "program", "cancel", "a.1-1").code).To(gomega.Equal(exitOK))
		gomega.Expect(ctl("", "host", "drain", "a").code).To(gomega.Equal(exitOK))
		gomega.Expect(requests).To(gomega.Equal([]string{"DELETE /v1/programs/a.1-1", "POST /v1/members/a/drain"}))
	})

	// Guards against lines of a request that are missing or out of order when several hosts logged them.
	// Guards against a view that hides a host, and against a comparison that misses a host that only one view lacks.
	ginkgo.It("shows and compares the views of entry hosts", func() {
		member := api.FleetMember{Name: "a-1", Incarnation: "1", FailureDomain: "a", State: api.MemberUp, StateForMS: 1500, Active: true, Watcher: true, LoadMS: -1}
		view := api.FleetView{Host: "a-1", Members: []api.FleetMember{member}, Kinds: []api.FollowedKind{{Kind: "servers", Source: "store", Revision: 7}}}
		view.ConfirmedMS = 700
		view.Teams = []api.TeamQuota{{Team: "blue", Keys: []string{"5f1c83aa"}, PerSecond: 9.5, Burst: 20, Keeper: "b-1", Used: 7, Refused: 2, Tokens: -1}}
		serveView := func(v api.FleetView) string {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(v) }))
			ginkgo.DeferCleanup(s.Close)
			return s.Listener.Addr().String()
		}
		first := serveView(view)
		r := ctl("", "fleet", first)
		gomega.Expect(r.out).To(gomega.MatchRegexp(`(?s)servers: revision 7 from store.*a-1 +a +up +1.5s +active,watcher`))
		gomega.Expect(r.out).To(gomega.ContainSubstring("configuration confirmed 700ms ago"))
		gomega.Expect(r.out).To(gomega.ContainSubstring("team blue (keys 5f1c83aa): 9.5 requests/s, burst 20; 7 used and 2 refused here, granted by b-1"))
		gomega.Expect(ctl("", "fleet", first, first).out).To(gomega.ContainSubstring("same view"))
		member.State = api.MemberUnreachable
		other := serveView(api.FleetView{Host: "b-1", Members: []api.FleetMember{member, {Name: "b-1", State: api.MemberUp}}})
		r = ctl("", "fleet", first, other)
		gomega.Expect(r.out).To(gomega.MatchRegexp(`(?s)a-1 +a-1 +up.*a-1 +b-1 +unreachable.*b-1 +a-1 +not listed`))
		gomega.Expect(ctl("", "fleet", "127.0.0.1:1").code).To(gomega.Equal(exitNotRun))
	})

	// Guards against turns with too few copies that operators do not see, and against a host that does not answer and is left
	// out.
	ginkgo.It("shows the retained turns of hosts with a disk", func() {
		view := api.DiskView{Host: "a-d1", State: "ready", Full: true, Turns: 12, Bytes: 3456, PendingCopies: 7, OldestPendingMS: 1500}
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			gomega.Expect(r.URL.Path).To(gomega.Equal("/v1/turns"))
			_ = json.NewEncoder(w).Encode(view)
		}))
		ginkgo.DeferCleanup(s.Close)
		r := ctl("", "turns", s.Listener.Addr().String(), "127.0.0.1:1")
		gomega.Expect(r.out).To(gomega.MatchRegexp(`a-d1 +ready,full +12 +3456 .* 7 +1.5s`))
		gomega.Expect(r.out).To(gomega.MatchRegexp(`127.0.0.1:1 +no answer`))
		gomega.Expect(r.code).To(gomega.Equal(exitNotRun))
	})

	ginkgo.It("explains a request from the logs of several hosts", func() {
		line := func(at, host, event, rest string) string {
			return `-1.5 ` + host + ` {"fields":{"host":"` + host + `","event":` + event + rest + `},"level":"info","timestamp":"2026-04-09T03:34:` + at + `Z","message":"m` + event + `"}` + "\n"
		}
		a := file("a.log", line("21.5", "a-1", "1111", `,"request":"r1","program":"p1","home":"b-1","reason":"budget"`)+
			line("21.2", "a-1", "1120", `,"version":7`)+line("01.0", "a-1", "1120", `,"version":6`)+"no event\n")
		b := file("b.log", line("21.4", "b-1", "1172", `,"program":"p1","granted":774`)+
			line("21.3", "b-1", "1110", `,"request":"r2"`)+line("30.0", "b-1", "1183", `,"request":"r3","fingerprint":"f1"`)+line("21.1", "b-1", "1150", `,"kind":"config"`))
		r := ctl("", "explain", "r1", a, b)
		gomega.Expect(r.code).To(gomega.Equal(exitOK), r.errOut)
		gomega.Expect(r.out).To(gomega.MatchRegexp(`(?s)1150.*1120.*version=7.*1111.*reason="budget"`))
		gomega.Expect(r.out).NotTo(gomega.Or(gomega.ContainSubstring("r2"), gomega.ContainSubstring("version=6")))
		gomega.Expect(ctl("", "explain", "p1", a, b).out).To(gomega.MatchRegexp(`(?s)granted=774.*1111`))
		gomega.Expect(ctl("", "explain", "f1", a, b).out).To(gomega.ContainSubstring(`request="r3"`))
		gomega.Expect(ctl("", "explain", "none", a, b).code).To(gomega.Equal(exitNotRun))
	})

	ginkgo.Describe("replay", func() {
		var log string

		ginkgo.BeforeEach(func() {
			var b bytes.Buffer
			for n := uint64(1); n <= 3; n++ {
				ev := configstate.TicketPushed{From: "p", BaseNumber: n - 1, Ticket: config.Ticket{Number: n, Author: "ann"}}
				raw, err := event.Encode(event.Envelope{At: clock.Millis(n), Event: ev})
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				gomega.Expect(runtime.WriteLogRecord(&b, raw)).To(gomega.Succeed())
			}
			log = file("events.log", b.String())
		})

		// Guards against a replay that does not report a changed effect.
		ginkgo.It("compares the effects byte for byte", func() {
			effects := ctl("", "replay", log, "--output", "json")
			gomega.Expect(effects.code).To(gomega.Equal(exitOK), effects.errOut)
			gomega.Expect(strings.Count(effects.out, "\n")).To(gomega.Equal(4), "three changes and one confirmation")
			gomega.Expect(ctl("", "replay", log, "--expect", file("same", effects.out)).code).To(gomega.Equal(exitOK))
			changed := strings.Replace(effects.out, `"at_ms":2`, `"at_ms":5`, 1)
			r := ctl("", "replay", log, "--expect", file("changed", changed))
			gomega.Expect(r.code).To(gomega.Equal(exitReplayMismatch))
			gomega.Expect(r.errOut).To(gomega.ContainSubstring("effect 3 differs"))
			gomega.Expect(ctl("", "replay", log, "--expect", file("more", effects.out+"{}\n")).code).To(gomega.Equal(exitReplayMismatch))
			gomega.Expect(ctl("", "replay", log).out).To(gomega.ContainSubstring("configuration.in_force"))
		})

		// Guards against treating a log that a crash cut off as complete.
		ginkgo.It("reports a log that is cut off", func() {
			b, err := os.ReadFile(log)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			r := ctl("", "replay", file("cut.log", string(b[:len(b)-3])), "-o", "json")
			gomega.Expect(r.code).To(gomega.Equal(exitNotRun))
			gomega.Expect(r.errOut).To(gomega.ContainSubstring("event 3"))
			gomega.Expect(strings.Count(r.out, "\n")).To(gomega.Equal(3))
		})
	})
})

// Guards against outcomes that are compared as effects, and against a difference that is not reported.
var _ = ginkgo.Describe("replay of a recorded trace", func() {
	const trace = "../../testdata/traces/tallowcreek/delta-a-1"
	ctl := func(args ...string) result {
		var out, errOut bytes.Buffer
		code := run(context.Background(), append([]string{"replay", trace + ".events.zst"}, args...), strings.NewReader(""), &out, &errOut)
		return result{code, out.String(), errOut.String()}
	}

	ginkgo.It("compares the outcomes with expected ones", func() {
		expected, err := os.ReadFile(trace + ".outcomes.json")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(ctl("--outcomes").out).To(gomega.Equal(string(expected)))
		gomega.Expect(ctl("--expect", trace+".outcomes.json").code).To(gomega.Equal(exitOK))
		changed := filepath.Join(ginkgo.GinkgoT().TempDir(), "changed.json")
		content := strings.Replace(string(expected), `"spent_tokens": 1`, `"spent_tokens": 2`, 1)
		gomega.Expect(content).NotTo(gomega.Equal(string(expected)))
		gomega.Expect(os.WriteFile(changed, []byte(content), 0o600)).To(gomega.Succeed())
		r := ctl("--expect", changed)
		gomega.Expect(r.code).To(gomega.Equal(exitReplayMismatch))
		gomega.Expect(r.errOut).To(gomega.ContainSubstring("outcomes differ"))
	})
})
