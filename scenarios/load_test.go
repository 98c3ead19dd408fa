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

// backgroundJob is a function that runs in the background. err is set before done is closed.
type backgroundJob struct {
	done chan struct{}
	err  error
}

// cmdLoad runs programs concurrently. Each caller sends a request again under its key after a retryable error, but not
// with --no-retry. A program has model turns around one non-idempotent tool call. Every program must end with
// its complete history; each tool call must be executed at most once, and exactly once if it was answered.
func cmdLoad(s *scenario, _ *testscript.TestScript, _ bool, args []string) error {
	var opts struct {
		Programs int    `short:"n" default:"20"`
		Tokens   int    `long:"tokens" default:"20"`
		Agent    string `long:"agent"`
		Tool     string `long:"tool"`
		Unknown  bool   `long:"unknown-allowed"`
		NoRetry  bool   `long:"no-retry"`
		Label    string `long:"label" default:"load"`
		BG       bool   `long:"bg"`
	}
	if _, err := parseArgs(args, &opts, 0, 0); err != nil {
		return err
	}
	if opts.Agent == "" {
		opts.Agent = map[string]string{"tobyl": "judge", "tallowcreek": "dispatch-assistant"}[s.cluster.Options.Deployment.Name]
	}
	if opts.Tool == "" {
		opts.Tool = map[string]string{"tobyl": "registration", "tallowcreek": "booking"}[s.cluster.Options.Deployment.Name]
	}
	errs := make([]error, opts.Programs)
	run := func() error {
		var wg sync.WaitGroup
		for i := range errs {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(s.ctx, 2*requestTimeout)
				defer cancel()
				errs[i] = s.runProgram(ctx, i, opts.Agent, opts.Tool, opts.Tokens, opts.Unknown, opts.NoRetry)
			})
		}
		wg.Wait()
		return errors.Join(errs...)
	}
	if !opts.BG {
		return run()
	}
	s.runInBackground(opts.Label, run)
	return nil
}

// runInBackground starts a job; the command "await" waits for its end.
func (s *scenario) runInBackground(label string, run func() error) {
	job := &backgroundJob{done: make(chan struct{})}
	s.jobs[label] = job
	s.background.Go(func() {
		job.err = run()
		close(job.done)
	})
}

// cmdLoop makes calls of one kind until one is rejected because of the budget or the turn limit. The rejection must
// have the outcome "not run".
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
			ts.Logf("call %d was rejected: %v", i+1, f)
			return nil
		default:
			return c.err
		}
	}
	return fmt.Errorf("none of %d calls was rejected", maxLoop)
}

func (s *scenario) runProgram(ctx context.Context, n int, agent, tool string, tokens int, unknownAllowed, noRetry bool) error {
	team := map[string]string{"tobyl": "bench-1", "tallowcreek": "haulage"}[s.cluster.Options.Deployment.Name]
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
		send := s.cluster.CallWithRetry
		if noRetry {
			send = s.callOnce
		}
		a, err := send(ctx, id, c)
		var f *fault.Error
		if errors.As(err, &f) && f.Outcome == fault.OutcomeUnknown && c.Kind == api.CallTool && unknownAllowed {
			continue
		}
		if err != nil {
			return fmt.Errorf("program %s call %s: %w", id, c.Key, err)
		}
		answers[c.Key] = a.Text
	}
	return s.checkProgram(ctx, id, answers)
}

// callOnce sends a call without retries.
func (s *scenario) callOnce(ctx context.Context, program string, request api.Call) (a api.CallAnswer, err error) {
	address, err := s.address(ctx, "", program)
	if err != nil {
		return a, err
	}
	return a, s.cluster.Do(ctx, address, http.MethodPost, "/v1/programs/"+program+"/calls", request, &a)
}

func (s *scenario) openProgramWithRetry(ctx context.Context, request api.OpenProgram) (id string, err error) {
	err = testbed.Await(ctx, func() (err error) {
		id, err = s.openProgram(ctx, "", request)
		return err
	})
	return id, err
}

// checkProgram compares a program's history with the answers by key that the caller received, and the executions of
// its tool call with the tools' counters. Then it ends the program.
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
			return fmt.Errorf("program %s call %s was answered %q, but the history has %q", id, t.Key, want, t.Answer)
		}
	}
	if got := strings.Join(keys, " "); got != "m1 t1 m2 m3" {
		return fmt.Errorf("the history of program %s has the keys %q", id, got)
	}
	total := int64(0)
	executions, err := s.cluster.Executions(id + "/t1")
	for _, n := range executions {
		total += n
	}
	if _, done := answers["t1"]; err != nil || total > 1 || (done && total != 1) {
		return fmt.Errorf("program %s: its tool call was executed %d times: %w", id, total, err)
	}
	return testbed.Await(ctx, func() error {
		address, err := s.address(ctx, "", id)
		if err != nil {
			return err
		}
		return s.cluster.Do(ctx, address, http.MethodPost, "/v1/programs/"+id+"/end", nil, nil)
	})
}
