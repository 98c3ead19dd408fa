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

// workload is what the programs of a deployment do.
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

// programResult is what is known of one program after its end.
type programResult struct {
	status  api.ProgramStatus
	history api.History
	latency time.Duration
}

type demo struct {
	bed      *testbed.Cluster
	workload workload
	ticket   config.Ticket
	results  []programResult
}

func (d *demo) run(ctx context.Context) error {
	d.workload = workloads[d.bed.Options.Deployment.Name]
	if err := d.applyTicket(ctx); err != nil {
		return errors.Wrap(err, "apply the ticket")
	}
	d.results = make([]programResult, d.workload.programCount)
	// The first program prints what it does; then the others run at the same time.
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
	return errors.Wrap(d.checkTokenTotals(ctx), "compare with the stand-ins")
}

func (d *demo) applyTicket(ctx context.Context) (err error) {
	if d.ticket, err = d.bed.LoadDefaultTicket(); err != nil {
		return err
	}
	if err := d.bed.ApplyTicket(ctx, d.bed.Hosts[0], d.ticket); err != nil {
		return err
	}
	for _, h := range d.bed.Hosts {
		if err := testbed.Await(ctx, func() error { return d.bed.CheckTicketInForce(ctx, h, d.ticket.Number) }); err != nil {
			return err
		}
		fmt.Printf("host %s (%s): ticket %d is in force\n", h.Name, h.HTTPAddress, d.ticket.Number)
	}
	return nil
}

// runProgram runs one program; it asks host i which host to use.
func (d *demo) runProgram(ctx context.Context, i int, show bool) error {
	say := func(format string, args ...any) {
		if show {
			fmt.Printf(format, args...)
		}
	}
	start := time.Now()
	which, err := d.bed.LookupHosts(ctx, d.bed.Hosts[i%len(d.bed.Hosts)], "")
	if err != nil {
		return errors.Wrap(err, "which host")
	}
	address := which.Hosts[0].Address
	say("\nwhich host? %s, with %d alternates\n", which.Hosts[0].Name, len(which.Hosts)-1)
	var opened api.ProgramOpened
	err = d.bed.Do(ctx, address, http.MethodPost, "/v1/programs",
		api.OpenProgram{Team: d.workload.team, Agent: d.workload.agent, BudgetTokens: budgetTokens}, &opened)
	if err != nil {
		return errors.Wrap(err, "open program")
	}
	id := string(opened.ID)
	say("program %s is open for agent %s, budget %d tokens\n", id, d.workload.agent, budgetTokens)
	for seq, call := range d.workload.calls {
		call.Seq = seq + 1
		if err := d.runCall(ctx, address, id, call, say); err != nil {
			return errors.Wrapf(err, "program %s, call %s", id, call.Key)
		}
	}
	r := &d.results[i]
	if err := d.checkProgram(ctx, address, id, r); err != nil {
		return errors.Wrapf(err, "program %s", id)
	}
	r.latency = time.Since(start)
	say("history read back: %d turns, every answer as the engines give it\nprogram %s is %s\n", len(r.history.Turns), id, r.status.State)
	return nil
}

func (d *demo) runCall(ctx context.Context, address, id string, call api.Call, say func(string, ...any)) error {
	var answer api.CallAnswer
	var err error
	say("\n%s %s: ", call.Kind, call.Key)
	if call.Kind == api.CallModel {
		say("%s\n  ", call.Model.Prompt)
		var text string
		text, answer, err = d.bed.Stream(ctx, address, id, call, func(p api.Piece) { say("%s", p.Text) })
		if err == nil && strings.TrimSpace(text) != strings.TrimSpace(answer.Text) {
			err = fmt.Errorf("streamed %q, answered %q", text, answer.Text)
		}
		say("\n  ")
	} else {
		err = d.bed.Do(ctx, address, http.MethodPost, "/v1/programs/"+id+"/calls", call, &answer)
		say("%s\n  ", strings.TrimSpace(answer.Text))
	}
	at := answer.Worker
	if at != "" {
		at = " at " + at
	}
	say("%s%s, durable: %v, cost %d tokens\n", answer.State, at, answer.Durable, answer.Usage.CostTokens)
	if err == nil && (answer.State != "done" || !answer.Durable) {
		err = fmt.Errorf("the answer is in state %q, durable: %v", answer.State, answer.Durable)
	}
	return err
}

// checkProgram reads the history back, ends the program and checks its calls against the stand-ins.
func (d *demo) checkProgram(ctx context.Context, address, id string, r *programResult) error {
	if err := d.bed.Do(ctx, address, http.MethodGet, "/v1/programs/"+id+"/history", nil, &r.history); err != nil {
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
			continue // it runs as a program of its own
		}
		ran, err := d.bed.Executions(id + "/" + call.Key)
		if err != nil {
			return err
		}
		if n := sum(ran); n != 1 {
			return fmt.Errorf("call %s ran %d times: %v", call.Key, n, ran)
		}
	}
	if err := d.bed.Do(ctx, address, http.MethodPost, "/v1/programs/"+id+"/end", nil, nil); err != nil {
		return errors.Wrap(err, "end program")
	}
	if err := d.bed.Do(ctx, address, http.MethodGet, "/v1/programs/"+id, nil, &r.status); err != nil {
		return errors.Wrap(err, "read status")
	}
	if r.status.State != "ended" || r.status.SpentTokens > r.status.BudgetTokens {
		return fmt.Errorf("wrong status after the end: %+v", r.status)
	}
	return nil
}

func sum(counts map[string]int64) (n int64) {
	for _, v := range counts {
		n += v
	}
	return n
}

// checkTokenTotals compares the usage that the programs were told with what the engines counted, and waits until
// no engine holds cache.
func (d *demo) checkTokenTotals(ctx context.Context) error {
	engines, err := d.bed.EngineCounters()
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
		return fmt.Errorf("the engines counted %+v, the programs were told %+v", want, got)
	}
	return testbed.Await(ctx, func() error {
		held, err := d.bed.CacheUsedTokens()
		if err == nil && len(held) > 0 {
			err = fmt.Errorf("engines hold cache of ended programs: %v", held)
		}
		return err
	})
}

// printTables prints one line for each program and one for each engine that worked.
func (d *demo) printTables() error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "\nprogram\tturns\tprompt tokens\tfrom cache\tgenerated\tcost\tbudget\tlatency\t")
	for _, r := range d.results {
		u := r.status.Usage
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d ms\t\n", r.status.ID, r.status.Turns, u.PromptTokens, u.CachedTokens,
			u.GeneratedTokens, r.status.SpentTokens, r.status.BudgetTokens, r.latency.Milliseconds())
	}
	engines, err := d.bed.EngineCounters()
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
