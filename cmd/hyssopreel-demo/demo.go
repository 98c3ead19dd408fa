package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/internal/testbed"
	"github.com/hyssopreel/hyssopreel/standin/engine"
)

const budgetTokens = 20_000

// workload describes the programs that the demo opens in a deployment: their number, team, agent and calls.
type workload struct {
	team, agent  string
	programCount int
	calls        []api.Call
}

var workloads = map[string]workload{
	"tobyl": {team: "bench-1", agent: "judge", programCount: 3, calls: []api.Call{
		modelCall("describe", "Describe the entry on bench 14. [[tokens=30]]"),
		toolCall("species", "species-check", `{"entry": 14}`),
		toolCall("register", "registration", `{"entry": 14, "class": "orchids"}`),
		{Key: "second-opinion", Kind: api.CallAgent, Agent: &api.AgentCall{
			Name: "helper", Prompt: "Is the lip of entry 14 true to type? [[tokens=20]]", BudgetTokens: 2000,
		}},
		{Key: "score", Kind: api.CallService, Service: &api.ServiceCall{
			Name: "bench-app", Method: http.MethodPost, Path: "/scores", Body: json.RawMessage(`{"entry": 14, "score": 87}`),
		}},
		modelCall("verdict", "Give the verdict. [[tokens=40]]"),
		toolCall("payout", "payout", `{"entry": 14, "prize": 3}`),
	}},
	"tallowcreek": {team: "haulage", agent: "dispatch-assistant", programCount: 3, calls: []api.Call{
		modelCall("understand", "A farm needs 12 cubic metres of water by noon. [[tokens=30]]"),
		toolCall("weather", "weather", `{"place": "Delta"}`),
		{Key: "route", Kind: api.CallAgent, Agent: &api.AgentCall{
			Name: "route-planner", Prompt: "Plan the route to the farm. [[tokens=20]]", BudgetTokens: 2000,
		}},
		{Key: "slot", Kind: api.CallService, Service: &api.ServiceCall{
			Name: "booking-app", Method: http.MethodPost, Path: "/holds", Body: json.RawMessage(`{"tanker": 5, "hour": 11}`),
		}},
		toolCall("book", "booking", `{"tanker": 5, "hour": 11}`),
		modelCall("confirm", "Write the confirmation. [[tokens=40]]"),
		toolCall("text", "driver-text", `{"tanker": 5}`),
	}},
}

func modelCall(key, prompt string) api.Call {
	return api.Call{Key: key, Kind: api.CallModel, Model: &api.ModelCall{Prompt: prompt}}
}

func toolCall(key, name, args string) api.Call {
	return api.Call{Key: key, Kind: api.CallTool, Tool: &api.ToolCall{Name: name, Args: json.RawMessage(args)}}
}

// programResult holds the status and the history of an ended program, and its duration from the lookup to the end.
type programResult struct {
	status  api.ProgramStatus
	history api.History
	latency time.Duration
}

type demo struct {
	cluster  *testbed.Cluster
	workload workload
	ticket   config.Ticket
	results  []programResult
}

func (d *demo) run(ctx context.Context) error {
	d.workload = workloads[d.cluster.Options.Deployment.Name]
	if err := d.applyTicket(ctx); err != nil {
		return errors.Wrap(err, "apply the ticket")
	}
	d.results = make([]programResult, d.workload.programCount)
	// The first program prints its calls; then the others run concurrently.
	if err := d.runProgram(ctx, 0, true); err != nil {
		return err
	}
	var group errgroup.Group
	for i := 1; i < d.workload.programCount; i++ {
		group.Go(func() error { return d.runProgram(ctx, i, false) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	if err := d.printTables(); err != nil {
		return err
	}
	return errors.Wrap(d.checkTokenTotals(ctx), "compare token usage with the engines")
}

func (d *demo) applyTicket(ctx context.Context) (err error) {
	if d.ticket, err = d.cluster.LoadDefaultTicket(); err != nil {
		return err
	}
	if err := d.cluster.ApplyTicket(ctx, d.cluster.Hosts[0], d.ticket); err != nil {
		return err
	}
	for _, h := range d.cluster.Hosts {
		if err := testbed.Await(ctx, func() error { return d.cluster.CheckTicketInForce(ctx, h, d.ticket.Number) }); err != nil {
			return err
		}
		fmt.Printf("host %s (%s): ticket %d is in force\n", h.Name, h.HTTPAddress, d.ticket.Number)
	}
	return nil
}

// runProgram runs one program at the host that host i, modulo the number of hosts, returns for it.
func (d *demo) runProgram(ctx context.Context, i int, show bool) error {
	printf := func(format string, args ...any) {
		if show {
			fmt.Printf(format, args...)
		}
	}
	start := time.Now()
	lookup, err := d.cluster.LookupHosts(ctx, d.cluster.Hosts[i%len(d.cluster.Hosts)], "")
	if err != nil {
		return errors.Wrap(err, "look up hosts")
	}
	address := lookup.Hosts[0].Address
	printf("\nhost for a new program: %s, with %d alternates\n", lookup.Hosts[0].Name, len(lookup.Hosts)-1)
	var opened api.ProgramOpened
	err = d.cluster.Do(ctx, address, http.MethodPost, "/v1/programs",
		api.OpenProgram{Team: d.workload.team, Agent: d.workload.agent, BudgetTokens: budgetTokens}, &opened)
	if err != nil {
		return errors.Wrap(err, "open program")
	}
	id := string(opened.ID)
	printf("program %s is open for agent %s, budget %d tokens\n", id, d.workload.agent, budgetTokens)
	for seq, call := range d.workload.calls {
		call.Seq = seq + 1
		if err := d.runCall(ctx, address, id, call, printf); err != nil {
			return errors.Wrapf(err, "program %s, call %s", id, call.Key)
		}
	}
	r := &d.results[i]
	if err := d.checkProgram(ctx, address, id, r); err != nil {
		return errors.Wrapf(err, "program %s", id)
	}
	r.latency = time.Since(start)
	printf("history: %d turns, every model answer as computed from the history\nprogram %s is %s\n", len(r.history.Turns), id, r.status.State)
	return nil
}

func (d *demo) runCall(ctx context.Context, address, id string, call api.Call, printf func(string, ...any)) error {
	var answer api.CallAnswer
	var err error
	printf("\n%s %s: ", call.Kind, call.Key)
	if call.Kind == api.CallModel {
		printf("%s\n  ", call.Model.Prompt)
		var text string
		text, answer, err = d.cluster.Stream(ctx, address, id, call, func(p api.Piece) { printf("%s", p.Text) })
		if err == nil && strings.TrimSpace(text) != strings.TrimSpace(answer.Text) {
			err = fmt.Errorf("the streamed text %q differs from the answer %q", text, answer.Text)
		}
		printf("\n  ")
	} else {
		err = d.cluster.Do(ctx, address, http.MethodPost, "/v1/programs/"+id+"/calls", call, &answer)
		printf("%s\n  ", strings.TrimSpace(answer.Text))
	}
	worker := answer.Worker
	if worker != "" {
		worker = " at " + worker
	}
	printf("%s%s, durable: %v, cost %d tokens\n", answer.State, worker, answer.Durable, answer.Usage.CostTokens)
	if err == nil && (answer.State != "done" || !answer.Durable) {
		err = fmt.Errorf("the answer is in state %q, durable: %v", answer.State, answer.Durable)
	}
	return err
}

// checkProgram checks the program's history and the executions of its calls at the stand-ins, and ends the
// program.
func (d *demo) checkProgram(ctx context.Context, address, id string, r *programResult) error {
	if err := d.cluster.Do(ctx, address, http.MethodGet, "/v1/programs/"+id+"/history", nil, &r.history); err != nil {
		return errors.Wrap(err, "read history")
	}
	agent := d.ticket.Objects.Agents[d.workload.agent]
	if err := testbed.CheckHistory(r.history, agent.SystemPrompt, agent.MaxTokens); err != nil {
		return err
	}
	for i, call := range d.workload.calls {
		if i >= len(r.history.Turns) || r.history.Turns[i].Key != call.Key {
			return fmt.Errorf("turn %d of the history is not call %s", i+1, call.Key)
		}
		if call.Kind == api.CallAgent {
			continue // it runs in a child program
		}
		executions, err := d.cluster.Executions(id + "/" + call.Key)
		if err != nil {
			return err
		}
		if n := sum(executions); n != 1 {
			return fmt.Errorf("call %s was executed %d times, not once: %v", call.Key, n, executions)
		}
	}
	if err := d.cluster.Do(ctx, address, http.MethodPost, "/v1/programs/"+id+"/end", nil, nil); err != nil {
		return errors.Wrap(err, "end program")
	}
	if err := d.cluster.Do(ctx, address, http.MethodGet, "/v1/programs/"+id, nil, &r.status); err != nil {
		return errors.Wrap(err, "read status")
	}
	if r.status.State != "ended" || r.status.SpentTokens > r.status.BudgetTokens {
		return fmt.Errorf("wrong status of the ended program: %+v", r.status)
	}
	return nil
}

func sum(counts map[string]int64) (n int64) {
	for _, v := range counts {
		n += v
	}
	return n
}

// checkTokenTotals compares the usage in the histories with the counters of the engines, and waits until no engine
// has cache in use.
func (d *demo) checkTokenTotals(ctx context.Context) error {
	engines, err := d.cluster.EngineCounters()
	if err != nil {
		return err
	}
	var want, got api.Usage
	for _, e := range engines {
		want.PromptTokens += e.PromptTokens
		want.CachedTokens += e.CachedTokens
		want.GeneratedTokens += e.GeneratedTokens
	}
	for _, r := range d.results {
		for _, t := range r.history.Turns {
			got.PromptTokens += t.Usage.PromptTokens
			got.CachedTokens += t.Usage.CachedTokens
			got.GeneratedTokens += t.Usage.GeneratedTokens
		}
	}
	if want != got {
		return fmt.Errorf("the engines counted %+v, the histories of the programs have %+v", want, got)
	}
	return testbed.Await(ctx, func() error {
		cached, err := d.cluster.CacheUsedTokens()
		if err == nil && len(cached) > 0 {
			err = fmt.Errorf("the engines still cache tokens of ended programs: %v", cached)
		}
		return err
	})
}

// printTables prints one line for each program and one for each engine that executed a request.
func (d *demo) printTables() error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "\nprogram\tturns\tprompt tokens\tfrom cache\tgenerated\tcost\tbudget\tlatency\t")
	for _, r := range d.results {
		u := r.status.Usage
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d ms\t\n", r.status.ID, r.status.Turns, u.PromptTokens, u.CachedTokens,
			u.GeneratedTokens, r.status.SpentTokens, r.status.BudgetTokens, r.latency.Milliseconds())
	}
	engines, err := d.cluster.EngineCounters()
	if err != nil {
		return err
	}
	slices.SortFunc(engines, func(a, b engine.Counters) int { return strings.Compare(a.Name, b.Name) })
	_, _ = fmt.Fprintln(w, "\nengine\trequests\tprompt tokens\tfrom cache\tgenerated\t")
	for _, e := range engines {
		if len(e.Executions) > 0 {
			_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t\n", e.Name, len(e.Executions), e.PromptTokens, e.CachedTokens, e.GeneratedTokens)
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Println()
	return nil
}
