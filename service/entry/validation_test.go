package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/settings"
	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/service/daemon"
	"github.com/hyssopreel/hyssopreel/standin/platform"
	"github.com/hyssopreel/hyssopreel/standin/tool"
)

const (
	maxBody        = 4 << 10
	maxHeader      = 4 << 10
	maxQueuedCalls = 2
	maxPrograms    = 3
	waitTimeout    = 20 * time.Second
)

// testDaemon is a daemon in this process, with stand-ins for the platform and the tools.
type testDaemon struct {
	*gomega.WithT
	url   string
	tools string
}

func hostAddress(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// freeAddress returns a free loopback address. The random IP address makes it unlikely that another process takes it
// before the daemon listens.
func freeAddress(g *gomega.WithT) string {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254)))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func startDaemon(t *testing.T) *testDaemon {
	d := &testDaemon{WithT: gomega.NewWithT(t)}
	store := httptest.NewServer(platform.New(platform.Config{}))
	tools := httptest.NewServer(tool.New())
	d.tools = tools.URL
	httpAddress, peerAddress := freeAddress(d.WithT), freeAddress(d.WithT)
	d.url = "http://" + httpAddress
	path := filepath.Join(t.TempDir(), "a-1.ini")
	d.Expect(os.WriteFile(path, []byte(fmt.Sprintf(`
[host]
name = a-1
failure_domain = a
region = r
[listen]
http = %s
peer = %s
[platform]
address = %s
[limits]
max_body = %dKB
max_header = %dKB
max_queued_calls = %d
order_wait = 100ms
`, httpAddress, peerAddress, hostAddress(store), maxBody>>10, maxHeader>>10, maxQueuedCalls)), 0o600)).To(gomega.Succeed())
	s, problems := settings.Load(path)
	d.Expect(problems).To(gomega.BeEmpty())
	ctx, stop := context.WithCancel(context.Background())
	runResult := make(chan error, 1)
	go func() { runResult <- daemon.Run(ctx, s) }()
	t.Cleanup(func() {
		stop()
		d.Expect(<-runResult).NotTo(gomega.HaveOccurred())
		store.CloseClientConnections()
		store.Close()
		tools.CloseClientConnections()
		tools.Close()
	})
	d.Eventually(func() int {
		resp, err := http.Get(d.url + "/readyz")
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}, waitTimeout).Should(gomega.Equal(http.StatusOK))
	objects := config.Objects{
		Pools:    map[string]*config.Pool{"lm": {Kind: "engine", Model: "lm", MaxRunning: 1, CacheTokens: 1000}, "app": {Kind: "service", MaxRunning: 1}},
		Agents:   map[string]*config.Agent{"judge": {Pool: "lm", Class: "interactive", MaxTokens: 10, Tools: []string{"pay"}, Services: []string{"app"}}},
		Tools:    map[string]*config.Tool{"pay": {Address: hostAddress(tools), CostTokens: 1, TimeLimitMS: 60_000}, "other": {Address: hostAddress(tools), TimeLimitMS: 1000}},
		Services: map[string]*config.Service{"app": {Pool: "app", TimeLimitMS: 1000}},
		Teams:    map[string]*config.Team{"bench": {MaxBudgetTokens: 1000, MaxOpenPrograms: maxPrograms}, "other": {MaxBudgetTokens: 1000, MaxOpenPrograms: 10}},
	}
	d.mustSend(http.MethodPost, "/v1/tickets", config.Ticket{Number: 1, Author: "ann", Tag: "t", Objects: objects}, nil)
	return d
}

// mustSend sends a request and checks that it succeeds; out may be nil.
func (d *testDaemon) mustSend(method, path string, in, out any) {
	body, err := json.Marshal(in)
	d.Expect(err).NotTo(gomega.HaveOccurred())
	status, _, answer := d.send(method, path, string(body), nil)
	d.Expect(status).To(gomega.BeNumerically("<", 300), string(answer))
	if out != nil {
		d.Expect(json.Unmarshal(answer, out)).To(gomega.Succeed())
	}
}

func (d *testDaemon) send(method, path, body string, header http.Header) (int, http.Header, []byte) {
	req, err := http.NewRequest(method, d.url+path, strings.NewReader(body))
	d.Expect(err).NotTo(gomega.HaveOccurred())
	for k, v := range header {
		req.Header[k] = v
	}
	resp, err := http.DefaultClient.Do(req)
	d.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	d.Expect(err).NotTo(gomega.HaveOccurred())
	return resp.StatusCode, resp.Header, answer
}

func (d *testDaemon) openProgram(team string) string {
	var o api.ProgramOpened
	d.mustSend(http.MethodPost, "/v1/programs", api.OpenProgram{Team: team, Agent: "judge", BudgetTokens: 100}, &o)
	return string(o.ID)
}

// stateSnapshot returns the state that a rejected request must not change: programs, histories, tickets and the calls
// that reached the tools.
func (d *testDaemon) stateSnapshot(programs ...string) string {
	var b bytes.Buffer
	paths := []string{"/v1/programs", "/v1/tickets"}
	for _, p := range programs {
		paths = append(paths, "/v1/programs/"+p, "/v1/programs/"+p+"/history")
	}
	for _, p := range paths {
		status, _, answer := d.send(http.MethodGet, p, "", nil)
		d.Expect(status).To(gomega.Equal(http.StatusOK))
		b.Write(answer)
	}
	resp, err := http.Get(d.tools + "/control/counters")
	d.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(&b, resp.Body)
	d.Expect(err).NotTo(gomega.HaveOccurred())
	return b.String()
}

// refusal is a request that must be rejected, and the expected error.
type refusal struct {
	name, method, path, body string
	header                   http.Header
	status                   int
	code                     fault.Code
	wantRetryAfter           bool // the error has a retry delay
}

func (d *testDaemon) expectRefused(r refusal, programs ...string) {
	before := d.stateSnapshot(programs...)
	status, header, answer := d.send(r.method, r.path, r.body, r.header)
	about := fmt.Sprintf("%s: %d %s", r.name, status, answer)
	d.Expect(status).To(gomega.Equal(r.status), about)
	d.Expect(header.Get("Content-Type")).To(gomega.Equal("application/json"), about)
	var e api.ErrorAnswer
	d.Expect(json.Unmarshal(answer, &e)).To(gomega.Succeed(), about)
	d.Expect(e.Error).NotTo(gomega.BeNil(), about)
	d.Expect(e.Error.Code).To(gomega.Equal(r.code), about)
	d.Expect(e.Error.Outcome).To(gomega.Equal(fault.OutcomeNotRun), about)
	d.Expect(e.Error.Step).NotTo(gomega.BeEmpty(), about)
	d.Expect(e.Error.Message).NotTo(gomega.BeEmpty(), about)
	d.Expect(e.Error.RetryAfterMS > 0).To(gomega.Equal(r.wantRetryAfter), about)
	d.Expect(header.Get("Retry-After") != "").To(gomega.Equal(r.wantRetryAfter), about)
	if status == http.StatusMethodNotAllowed {
		d.Expect(header.Get("Allow")).NotTo(gomega.Or(gomega.BeEmpty(), gomega.ContainSubstring(r.method)), about)
	}
	d.Expect(d.stateSnapshot(programs...)).To(gomega.Equal(before), about)
}

// Guards against invalid requests that are executed in whole or in part, or as another request, and against error
// responses that a client cannot parse.
func TestInputChecks(t *testing.T) {
	t.Parallel() // the shutdown of a daemon takes 5 s
	d := startDaemon(t)
	p := d.openProgram("bench")
	calls := "/v1/programs/" + p + "/calls"
	d.mustSend(http.MethodPost, calls, json.RawMessage(`{"key": "k1", "seq": 1, "kind": "tool", "tool": {"name": "pay", "args": {"entry": 1}}}`), nil)

	invalid := func(name, method, path, body string) refusal {
		return refusal{name: name, method: method, path: path, body: body, status: http.StatusBadRequest, code: fault.CodeInvalidRequest}
	}
	var table []refusal
	const open = `{"team": "bench", "agent": "judge", "budget_tokens": 10}`
	const call = `{"key": "k2", "kind": "tool", "tool": {"name": "pay"}}`
	const ticket = `{"number": 2, "author": "ann", "tag": "u", "objects": {"teams": {"third": {"max_budget_tokens": 1, "max_open_programs": 1}}}}`
	for path, body := range map[string]string{"/v1/programs": open, calls: call, "/v1/tickets": ticket} {
		for name, wrong := range map[string]string{
			"empty": "", "null": "null", "array": "[" + body + "]", "cut off": body[:len(body)-1], "text": "judge",
			"unknown field": `{"unknown": 1, ` + body[1:], "second value": body + body, "trailing brace": body + "}",
			"trailing bracket": body + "]", "trailing text": body + " x", "only blanks": " \n", "deep": strings.Repeat("[", 2000),
		} {
			table = append(table, invalid(name+" at "+path, http.MethodPost, path, wrong))
		}
		large := refusal{method: http.MethodPost, path: path, status: http.StatusRequestEntityTooLarge, code: fault.CodeTooLarge}
		large.name, large.body = "large body at "+path, body[:len(body)-1]+strings.Repeat(" ", maxBody)+"}"
		table = append(table, large)
		large.name, large.body = "large trailing blanks at "+path, body+strings.Repeat(" ", maxBody)
		table = append(table, large)
	}
	for name, body := range map[string]string{
		"budget as text":    `{"team": "bench", "agent": "judge", "budget_tokens": "10"}`,
		"budget 0":          `{"team": "bench", "agent": "judge"}`,
		"negative budget":   `{"team": "bench", "agent": "judge", "budget_tokens": -1}`,
		"large budget":      `{"team": "bench", "agent": "judge", "budget_tokens": 1001}`,
		"huge budget":       `{"team": "bench", "agent": "judge", "budget_tokens": 1e30}`,
		"negative deadline": `{"team": "bench", "agent": "judge", "budget_tokens": 10, "deadline_ms": -1}`,
		"huge deadline":     `{"team": "bench", "agent": "judge", "budget_tokens": 10, "deadline_ms": 9223372036854775807}`,
		"no team":           `{"agent": "judge", "budget_tokens": 10}`,
		"unknown team":      `{"team": "nobody", "agent": "judge", "budget_tokens": 10}`,
		"unknown agent":     `{"team": "bench", "agent": "nobody", "budget_tokens": 10}`,
		"malformed parent":  `{"team": "bench", "agent": "judge", "budget_tokens": 10, "parent": "x"}`,
	} {
		table = append(table, invalid(name, http.MethodPost, "/v1/programs", body))
	}
	for name, body := range map[string]string{
		"no key":                  `{"kind": "tool", "tool": {"name": "pay"}}`,
		"empty key":               `{"key": "", "kind": "tool", "tool": {"name": "pay"}}`,
		"long key":                `{"key": "` + strings.Repeat("k", 129) + `", "kind": "tool", "tool": {"name": "pay"}}`,
		"key with a line break":   `{"key": "a\nb", "kind": "tool", "tool": {"name": "pay"}}`,
		"key with a zero byte":    `{"key": "a\u0000", "kind": "tool", "tool": {"name": "pay"}}`,
		"key outside ASCII":       `{"key": "ключ", "kind": "tool", "tool": {"name": "pay"}}`,
		"key as a number":         `{"key": 1, "kind": "tool", "tool": {"name": "pay"}}`,
		"negative seq":            `{"key": "k2", "seq": -1, "kind": "tool", "tool": {"name": "pay"}}`,
		"broken seq":              `{"key": "k2", "seq": 1.5, "kind": "tool", "tool": {"name": "pay"}}`,
		"no kind":                 `{"key": "k2", "tool": {"name": "pay"}}`,
		"unknown kind":            `{"key": "k2", "kind": "shell", "tool": {"name": "pay"}}`,
		"kind without its field":  `{"key": "k2", "kind": "tool"}`,
		"kind with another field": `{"key": "k2", "kind": "model", "tool": {"name": "pay"}}`,
		"two fields":              `{"key": "k2", "kind": "tool", "tool": {"name": "pay"}, "model": {"prompt": "x"}}`,
		"empty prompt":            `{"key": "k2", "kind": "model", "model": {"prompt": ""}}`,
		"negative max_tokens":     `{"key": "k2", "kind": "model", "model": {"prompt": "x", "max_tokens": -1}}`,
		"no tool":                 `{"key": "k2", "kind": "tool", "tool": {}}`,
		"unknown tool":            `{"key": "k2", "kind": "tool", "tool": {"name": "nothing"}}`,
		"tool of another agent":   `{"key": "k2", "kind": "tool", "tool": {"name": "other"}}`,
		"unknown nested field":    `{"key": "k2", "kind": "tool", "tool": {"name": "pay", "argz": 1}}`,
		"unknown service":         `{"key": "k2", "kind": "service", "service": {"name": "x", "method": "GET", "path": "/"}}`,
		"wrong service method":    `{"key": "k2", "kind": "service", "service": {"name": "app", "method": "CONNECT", "path": "/"}}`,
		"no service path":         `{"key": "k2", "kind": "service", "service": {"name": "app", "method": "GET"}}`,
		"relative service path":   `{"key": "k2", "kind": "service", "service": {"name": "app", "method": "GET", "path": "x"}}`,
		"broken service path":     `{"key": "k2", "kind": "service", "service": {"name": "app", "method": "GET", "path": "/%zz"}}`,
		"service path with break": `{"key": "k2", "kind": "service", "service": {"name": "app", "method": "GET", "path": "/a\r\nb"}}`,
		"service path with dots":  `{"key": "k2", "kind": "service", "service": {"name": "app", "method": "POST", "path": "/search/../pay"}}`,
		"service path, fragment":  `{"key": "k2", "kind": "service", "service": {"name": "app", "method": "GET", "path": "/a#b"}}`,
		"unknown agent":           `{"key": "k2", "kind": "agent", "agent": {"name": "x", "prompt": "x", "budget_tokens": 1}}`,
		"agent budget 0":          `{"key": "k2", "kind": "agent", "agent": {"name": "x", "prompt": "x"}}`,
		"stream of a wrong call":  `{"key": "k2", "kind": "tool", "tool": {"name": "nothing"}, "stream": true}`,
	} {
		table = append(table, invalid(name, http.MethodPost, calls, body))
	}
	conflict := func(name string, code fault.Code, body string) refusal {
		return refusal{name: name, method: http.MethodPost, path: calls, body: body, status: http.StatusConflict, code: code}
	}
	early := conflict("seq after a missing one", fault.CodeOutOfOrder, `{"key": "k9", "seq": 9, "kind": "tool", "tool": {"name": "pay"}}`)
	early.wantRetryAfter = true
	table = append(
		table, early,
		conflict("seq of an earlier call", fault.CodeOutOfOrder, `{"key": "k2", "seq": 1, "kind": "tool", "tool": {"name": "pay"}}`),
		conflict("key with another body", fault.CodeKeyReused, `{"key": "k1", "seq": 1, "kind": "tool", "tool": {"name": "pay", "args": {"entry": 2}}}`),
		conflict("key with another kind", fault.CodeKeyReused, `{"key": "k1", "kind": "model", "model": {"prompt": "x"}, "stream": true}`),
	)
	missing := func(method, path string) refusal {
		return refusal{name: "missing " + method + " " + path, method: method, path: path, body: call, status: http.StatusNotFound, code: fault.CodeNotFound}
	}
	for id, retry := range map[string]bool{"a-1.1-999": false, "nobody.1-1": true} {
		for _, target := range [][2]string{{"GET", ""}, {"DELETE", ""}, {"POST", "/end"}, {"GET", "/history"}, {"POST", "/calls"}, {"GET", "/calls/k1"}} {
			r := missing(target[0], "/v1/programs/"+id+target[1])
			r.wantRetryAfter = retry // an unknown host may have joined just now
			table = append(table, r)
		}
	}
	for _, path := range []string{"/", "/v1", "/v1/", "/v2/programs", "/v1/programs/", "/v1/nothing", calls + "/k2", calls + "/k1/x", "/v1/tickets/7", "/v1/programs/" + p + "/x"} {
		table = append(table, missing(http.MethodGet, path))
	}
	table = append(table, missing(http.MethodPost, "/v1/members/nobody/drain"))
	for _, path := range []string{"/v1/programs/x", "/v1/programs/a-1.1", "/v1/programs/a-1.1-x", "/v1/programs/a-1.1--1", "/v1/programs/a-1.1-01", "/v1/tickets/x", "/v1/tickets/-1", "/v1/hosts?program=x"} {
		table = append(table, invalid("malformed "+path, http.MethodGet, path, ""))
	}
	for _, target := range [][2]string{
		{"PUT", "/v1/programs"},
		{"DELETE", "/v1/programs"},
		{"POST", "/v1/programs/" + p},
		{"GET", "/v1/programs/" + p + "/end"},
		{"GET", calls},
		{"DELETE", calls},
		{"POST", calls + "/k1"},
		{"PATCH", "/v1/tickets"},
		{"POST", "/v1/hosts"},
		{"GET", "/v1/members/a-1/drain"},
	} {
		table = append(table, refusal{name: "method", method: target[0], path: target[1], body: call, status: http.StatusMethodNotAllowed, code: fault.CodeInvalidRequest})
	}
	header := refusal{
		name: "large header", method: http.MethodPost, path: calls, body: call, header: http.Header{"X-Large": {strings.Repeat("x", maxHeader)}},
		status: http.StatusRequestHeaderFieldsTooLarge, code: fault.CodeTooLarge,
	}
	table = append(table, header)
	header.name, header.header = "many headers", http.Header{"X-Large": slices.Repeat([]string{strings.Repeat("x", 100)}, maxHeader/100)}
	table = append(table, header)
	for _, r := range table {
		t.Run(r.name, func(t *testing.T) {
			(&testDaemon{WithT: gomega.NewWithT(t), url: d.url, tools: d.tools}).expectRefused(r, p)
		})
	}
	// The valid forms of the requests succeed afterwards.
	d.mustSend(http.MethodPost, calls, json.RawMessage(call), nil)
	d.mustSend(http.MethodPost, "/v1/tickets", json.RawMessage(ticket), nil)
	d.mustSend(http.MethodGet, calls+"/"+url.PathEscape("k1"), nil, nil)
}

// Guards against a call whose outcome cannot be read because its key contains characters that are escaped in a path.
func TestKeyWithSlashAndPercent(t *testing.T) {
	t.Parallel() // the shutdown of a daemon takes 5 s
	d := startDaemon(t)
	p := d.openProgram("bench")
	for _, key := range []string{"a/b", "a%2Fb", "100%", "a?b#c"} {
		c := api.Call{Key: key, Kind: api.CallTool, Tool: &api.ToolCall{Name: "pay"}}
		d.mustSend(http.MethodPost, "/v1/programs/"+p+"/calls", c, nil)
		var a api.CallAnswer
		d.mustSend(http.MethodGet, "/v1/programs/"+p+"/calls/"+url.PathEscape(key), nil, &a)
		d.Expect(a.Key).To(gomega.Equal(key))
	}
}

// Guards against limits that are not enforced, and against rejected calls that run later.
func TestLimits(t *testing.T) {
	t.Parallel() // the shutdown of a daemon takes 5 s
	d := startDaemon(t)
	p := d.openProgram("bench")
	for range maxPrograms - 1 {
		d.openProgram("bench")
	}
	d.expectRefused(refusal{
		name: "too many programs", method: http.MethodPost, path: "/v1/programs", body: `{"team": "bench", "agent": "judge", "budget_tokens": 10}`,
		status: http.StatusTooManyRequests, code: fault.CodeLimitExceeded, wantRetryAfter: true,
	}, p)
	d.openProgram("other") // the limit applies to each team

	calls := "/v1/programs/" + p + "/calls"
	type callResult struct {
		key    string
		status int
		answer []byte
	}
	results := make(chan callResult, 1+maxQueuedCalls)
	submit := func(key, args, state string) {
		go func() {
			status, _, answer := d.send(http.MethodPost, calls, `{"key": "`+key+`", "kind": "tool", "tool": {"name": "pay", "args": `+args+`}}`, nil)
			results <- callResult{key, status, answer}
		}()
		d.Eventually(func() string {
			var a api.CallAnswer
			_, _, answer := d.send(http.MethodGet, calls+"/"+key, "", nil)
			_ = json.Unmarshal(answer, &a)
			return a.State
		}, waitTimeout).Should(gomega.Equal(state))
	}
	submit("running", `{"hang": true}`, "running")
	d.Eventually(func() string { return d.stateSnapshot() }, waitTimeout).Should(gomega.ContainSubstring(p + "/running"))
	for i := range maxQueuedCalls {
		submit(fmt.Sprintf("queued-%d", i), "{}", "queued")
	}
	beyond := refusal{
		name: "too many queued calls", method: http.MethodPost, path: calls, body: `{"key": "beyond", "kind": "tool", "tool": {"name": "pay"}}`,
		status: http.StatusTooManyRequests, code: fault.CodeLimitExceeded, wantRetryAfter: true,
	}
	d.expectRefused(beyond, p)
	beyond.name, beyond.path, beyond.method = "end while calls are running or queued", "/v1/programs/"+p+"/end", http.MethodPost
	beyond.status, beyond.code = http.StatusConflict, fault.CodeOutOfOrder
	beyond.wantRetryAfter = false
	d.expectRefused(beyond, p)

	d.mustSend(http.MethodDelete, "/v1/programs/"+p, nil, nil)
	for range 1 + maxQueuedCalls {
		r := <-results
		outcome := `"not run"`
		if r.key == "running" {
			outcome = `"outcome unknown"`
		}
		d.Expect(r.status).To(gomega.Equal(http.StatusConflict), string(r.answer))
		d.Expect(string(r.answer)).To(gomega.ContainSubstring(outcome), r.key)
	}
	d.expectRefused(refusal{
		name: "call of an ended program", method: http.MethodPost, path: calls, body: `{"key": "late", "kind": "tool", "tool": {"name": "pay"}}`,
		status: http.StatusConflict, code: fault.CodeProgramEnded,
	}, p)
	d.Expect(d.stateSnapshot(p)).NotTo(gomega.Or(gomega.ContainSubstring(p+"/beyond"), gomega.ContainSubstring(p+"/queued"), gomega.ContainSubstring(p+"/late")))
	d.openProgram("bench") // a canceled program does not count toward the limit
}
