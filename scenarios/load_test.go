package scenarios

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/internal/testbed"
)

// backgroundJob is a number of programs that run in the background.
type backgroundJob struct {
	done chan struct{}
	err  error
}

// cmdLoad runs programs at the same time, each by a caller that keeps its keys and repeats requests whose
// connection broke. A program has model turns around one tool call that may not be repeated. Every program has
// to end with its whole history; the tool calls have to have run at most once, and once if they were answered.
func cmdLoad(s *scenario, _ *testscript.TestScript, _ bool, args []string) error {
	var o struct {
		Programs int    `short:"n" default:"20"`
		Tokens   int    `long:"tokens" default:"20"`
		Agent    string `long:"agent"`
		Tool     string `long:"tool"`
		Unknown  bool   `long:"unknown-allowed"`
		NoRetry  bool   `long:"no-retry"`
		Label    string `long:"label" default:"load"`
		BG       bool   `long:"bg"`
	}
	if _, err := parseArgs(args, &o, 0, 0); err != nil {
		return err
	}
	if o.Agent == "" {
		o.Agent = map[string]string{"tobyl": "judge", "tallowcreek": "dispatch-assistant"}[s.bed.Options.Deployment.Name]
	}
	if o.Tool == "" {
		o.Tool = map[string]string{"tobyl": "registration", "tallowcreek": "booking"}[s.bed.Options.Deployment.Name]
	}
	errs := make([]error, o.Programs)
	run := func() error {
		var wg sync.WaitGroup
		for i := range errs {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(s.ctx, 2*requestTimeout)
				defer cancel()
				errs[i] = s.runProgram(ctx, i, o.Agent, o.Tool, o.Tokens, o.Unknown, o.NoRetry)
			})
		}
		wg.Wait()
		return errors.Join(errs...)
	}
	if !o.BG {
		return run()
	}
	s.runInBackground(o.Label, run)
	return nil
}

// runInBackground runs a function that "await" waits for.
func (s *scenario) runInBackground(label string, run func() error) {
	b := &backgroundJob{done: make(chan struct{})}
	s.jobs[label] = b
	s.background.Go(func() {
		b.err = run()
		close(b.done)
	})
}

// cmdLoop makes calls of one kind until one is refused, which has to say "not run".
func cmdLoop(s *scenario, ts *testscript.TestScript, _ bool, args []string) error {
	const maxLoop = 400 // above the default turn limit
	words, err := parseArgs(args, &struct{}{}, 3, -1)
	if err != nil {
		return err
	}
	for i := range maxLoop {
		request, err := parseCall(fmt.Sprintf("loop-%d", i), words[1], words[2:])
		if err != nil {
			return err
		}
		c := s.startCall(words[0], "", false, request)
		<-c.done
		var f *fault.Error
		switch {
		case c.err == nil:
		case errors.As(c.err, &f) && f.Outcome == fault.OutcomeNotRun && (f.Code == fault.CodeBudgetExceeded || f.Code == fault.CodeTurnLimit):
			ts.Logf("call %d was refused: %v", i+1, f)
			return nil
		default:
			return c.err
		}
	}
	return fmt.Errorf("%d calls were accepted", maxLoop)
}

func (s *scenario) runProgram(ctx context.Context, n int, agent, tool string, tokens int, unknown, noRetry bool) error {
	team := map[string]string{"tobyl": "bench-1", "tallowcreek": "haulage"}[s.bed.Options.Deployment.Name]
	id, err := s.openProgramWithRetry(ctx, api.OpenProgram{Team: team, Agent: agent, BudgetTokens: 20_000})
	if err != nil {
		return fmt.Errorf("open program %d: %w", n, err)
	}
	model := func(key string) api.Call {
		prompt := fmt.Sprintf("program %d turn %s [[tokens=%d]]", n, key, tokens)
		return api.Call{Key: key, Kind: api.CallModel, Model: &api.ModelCall{Prompt: prompt}}
	}
	args := fmt.Sprintf(`{"program": %d}`, n)
	calls := []api.Call{
		model("m1"),
		{Key: "t1", Kind: api.CallTool, Tool: &api.ToolCall{Name: tool, Args: []byte(args)}},
		model("m2"), model("m3"),
	}
	answers := map[string]string{}
	for _, c := range calls {
		send := s.bed.CallWithRetry
		if noRetry {
			send = s.callOnce
		}
		a, err := send(ctx, id, c)
		var f *fault.Error
		if errors.As(err, &f) && f.Outcome == fault.OutcomeUnknown && c.Kind == api.CallTool && unknown {
			continue
		}
		if err != nil {
			return fmt.Errorf("program %s call %s: %w", id, c.Key, err)
		}
		answers[c.Key] = a.Text
	}
	return s.checkProgram(ctx, id, answers)
}

// callOnce sends a call a single time.
func (s *scenario) callOnce(ctx context.Context, program string, request api.Call) (a api.CallAnswer, err error) {
	address, err := s.address(ctx, "", program)
	if err != nil {
		return a, err
	}
	return a, s.bed.Do(ctx, address, http.MethodPost, "/v1/programs/"+program+"/calls", request, &a)
}

func (s *scenario) openProgramWithRetry(ctx context.Context, q api.OpenProgram) (id string, err error) {
	err = testbed.Await(ctx, func() (err error) {
		id, err = s.openProgram(ctx, "", q)
		return err
	})
	return id, err
}

// checkProgram compares a program's history with the caller's answers and the tools' counters, and ends it.
func (s *scenario) checkProgram(ctx context.Context, id string, answers map[string]string) error {
	var h api.History
	if err := testbed.Await(ctx, func() (err error) {
		h, err = s.checkedHistory(id)
		return err
	}); err != nil {
		return fmt.Errorf("program %s: %w", id, err)
	}
	var keys []string
	for _, t := range h.Turns {
		keys = append(keys, t.Key)
		if want, ok := answers[t.Key]; ok && want != t.Answer {
			return fmt.Errorf("program %s call %s was answered %q, the history has %q", id, t.Key, want, t.Answer)
		}
	}
	if got := strings.Join(keys, " "); got != "m1 t1 m2 m3" {
		return fmt.Errorf("the history of program %s has the keys %q", id, got)
	}
	runs := int64(0)
	ran, err := s.bed.Executions(id + "/t1")
	for _, n := range ran {
		runs += n
	}
	if _, done := answers["t1"]; err != nil || runs > 1 || (done && runs != 1) {
		return fmt.Errorf("program %s: its tool call ran %d times: %w", id, runs, err)
	}
	return testbed.Await(ctx, func() error {
		address, err := s.address(ctx, "", id)
		if err != nil {
			return err
		}
		return s.bed.Do(ctx, address, http.MethodPost, "/v1/programs/"+id+"/end", nil, nil)
	})
}
