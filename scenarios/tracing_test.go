package scenarios

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/internal/testbed"
)

// span holds the fields of one line of a trace file that the test checks.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	Attributes  []attribute
	Resource    []attribute
}

type attribute struct {
	Key   string
	Value struct{ Value any }
}

func (s span) host() string {
	for _, a := range s.Resource {
		if a.Key == "host.name" {
			return fmt.Sprint(a.Value.Value)
		}
	}
	return ""
}

// spans reads the spans of one trace from the files of all hosts.
func spans(cluster *testbed.Cluster, traceID string) ([]span, error) {
	var out []span
	for _, h := range cluster.Hosts {
		content, err := os.ReadFile(filepath.Join(cluster.Dir, h.Name+".spans"))
		if err != nil {
			return nil, err
		}
		for lines := bufio.NewScanner(bytes.NewReader(content)); lines.Scan(); {
			var s span
			if err := json.Unmarshal(lines.Bytes(), &s); err != nil {
				return nil, err
			}
			if s.SpanContext.TraceID == traceID {
				out = append(out, s)
			}
		}
	}
	return out, nil
}

// Guards against a hop that is missing from a trace or is recorded in another trace, so that an operator cannot
// follow a request from its caller to the engine.
func TestTraceJoinsAllHops(t *testing.T) {
	g := gomega.NewWithT(t)
	cluster, err := testbed.Start(t.TempDir(), testbed.Options{Deployment: testbed.Deployments["tobyl"], Hosts: 3, BinDir: binDir, RepoRoot: root, Trace: true})
	t.Cleanup(func() { _ = cluster.Close() })
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ticket, err := cluster.LoadDefaultTicket()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	home, via := cluster.Hosts[0], cluster.Hosts[2]
	g.Expect(cluster.ApplyTicket(t.Context(), home, ticket)).To(gomega.Succeed())
	ctx, cancel := context.WithTimeout(t.Context(), eventuallyTimeout)
	defer cancel()
	g.Expect(testbed.Await(ctx, func() error { return cluster.CheckTicketInForce(ctx, home, ticket.Number) })).To(gomega.Succeed())
	var opened api.ProgramOpened
	request := api.OpenProgram{Team: "bench-1", Agent: "judge", BudgetTokens: 5000}
	g.Expect(cluster.Do(ctx, home.HTTPAddress, http.MethodPost, "/v1/programs", request, &opened)).To(gomega.Succeed())
	id := string(opened.ID)

	const callerSpan = "00f067aa0ba902b7"
	call := func(traceID, body string) {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+via.HTTPAddress+"/v1/programs/"+id+"/calls", bytes.NewBufferString(body))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		req.Header.Set("traceparent", "00-"+traceID+"-"+callerSpan+"-01")
		resp, err := http.DefaultClient.Do(req)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		answer, err := io.ReadAll(resp.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK), string(answer))
	}
	// expectHops waits for the spans of a call, checks their parents and hosts, and returns the ID of the span named
	// last. The parent of each span in atHome is the span of the home.
	expectHops := func(traceID, last string, atHome ...string) string {
		var found map[string]span
		g.Expect(testbed.Await(ctx, func() error {
			list, err := spans(cluster, traceID)
			if err != nil {
				return err
			}
			found = map[string]span{}
			for _, s := range list {
				if _, ok := found[s.Name]; ok {
					return fmt.Errorf("two spans %q in trace %s", s.Name, traceID)
				}
				found[s.Name] = s
			}
			if want := 3 + len(atHome); len(found) != want {
				return fmt.Errorf("%d spans instead of %d: %+v", len(found), want, list)
			}
			return nil
		})).To(gomega.Succeed())
		expectSpan := func(name, parent string, at *testbed.Host) string {
			g.Expect(found).To(gomega.HaveKey(name))
			g.Expect(found[name].Parent.SpanID).To(gomega.Equal(parent), "parent of "+name)
			g.Expect(found[name].host()).To(gomega.Equal(at.Name), "host of "+name)
			return found[name].SpanContext.SpanID
		}
		entry := expectSpan("entry POST /v1/programs/{id}/calls", callerSpan, via)
		forward := expectSpan("forward call", entry, via)
		homeSpan := expectSpan("home call", forward, home)
		for _, name := range atHome {
			expectSpan(name, homeSpan, home)
		}
		return found[last].SpanContext.SpanID
	}

	const (
		model = "4bf92f3577b34da6a3ce929d0e0e4736"
		tool  = "4bf92f3577b34da6a3ce929d0e0e4737"
		agent = "4bf92f3577b34da6a3ce929d0e0e4738"
	)
	call(model, `{"key": "m1", "kind": "model", "model": {"prompt": "describe the entry", "max_tokens": 8}}`)
	dispatch := expectHops(model, "dispatch model", "commit reserved", "wait for grant", "dispatch model", "commit turn")
	counters, err := cluster.EngineCounters()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var traceparents []string
	for _, c := range counters {
		if t, ok := c.Traceparents[id+"/m1"]; ok {
			traceparents = append(traceparents, t)
		}
	}
	g.Expect(traceparents).To(gomega.Equal([]string{"00-" + model + "-" + dispatch + "-01"}))

	// The reservation committed for the model call covers this call, so that no further reservation is committed.
	call(tool, `{"key": "r1", "kind": "tool", "tool": {"name": "registration", "args": {"entry": 14}}}`)
	expectHops(tool, "dispatch tool", "commit intent", "dispatch tool", "commit turn")

	// The trace of an agent call contains the spans of its child program and of a second request with the same key.
	const body = `{"key": "h1", "kind": "agent", "agent": {"name": "helper", "budget_tokens": 1000, "prompt": "is the lip true"}}`
	call(agent, body)
	call(agent, body)
	var names []string
	g.Expect(testbed.Await(ctx, func() error {
		list, err := spans(cluster, agent)
		names = nil
		for _, s := range list {
			names = append(names, s.Name)
		}
		if err == nil && len(names) < 12 {
			err = fmt.Errorf("%d spans instead of 12: %q", len(names), names)
		}
		return err
	})).To(gomega.Succeed())
	g.Expect(names).To(gomega.ConsistOf(
		"entry POST /v1/programs/{id}/calls", "forward call", "home call", "commit opened", "commit reserved", "wait for grant",
		"dispatch model", "commit turn", "commit turn", // of the child and of its parent
		"entry POST /v1/programs/{id}/calls", "forward call", "home call",
	))
}
