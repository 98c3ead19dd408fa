package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/bench/workload"
	"github.com/hyssopreel/hyssopreel/client"
	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/ids"
)

const (
	// minRetryDelay is the minimum delay before a request that did not run is sent again.
	minRetryDelay = 50 * time.Millisecond
	// endTimeout bounds the request that ends a program, which may come after the horizon.
	endTimeout = 10 * time.Second
	// maxShownErrors limits the errors in the report.
	maxShownErrors = 10
)

// outcome is how a program ended.
type outcome string

const (
	finished         outcome = "finished"
	turnLimited      outcome = "looped" // stopped by its turn limit
	canceledByCaller outcome = "hung up"
	refused          outcome = "refused"
	failed           outcome = "failed"
	unfinished       outcome = "unfinished"
)

// loadRun runs the programs of one event and records when they end.
type loadRun struct {
	workload *scaledWorkload
	client   *client.Client
	report   *report
	start    time.Time

	mu      sync.Mutex
	endedAt map[ids.Program]time.Time
}

// runPrograms starts each program at its arrival and returns when all have ended or the horizon is reached.
func (r *loadRun) runPrograms(ctx context.Context, programs []*workload.Program) {
	ctx, cancel := context.WithTimeout(ctx, r.workload.horizon())
	defer cancel()
	r.start = time.Now()
	var wg sync.WaitGroup
	for _, p := range programs {
		wg.Go(func() {
			if !sleep(ctx, r.workload.arrival(p)) {
				r.report.recordProgram(p, unfinished, 0, r.workload)
				return
			}
			r.runProgram(ctx, p)
		})
	}
	wg.Wait()
}

// runProgram runs one program that a caller opens.
func (r *loadRun) runProgram(ctx context.Context, p *workload.Program) {
	opened := time.Now()
	c := &caller{run: r, program: p}
	if p.Agent.DeadlineS > 0 {
		c.deadline = opened.Add(r.workload.scaleTarget(p.Agent.DeadlineS))
	}
	callerCtx := ctx
	if p.Agent.CancelsAtDeadline {
		limited, cancel := context.WithDeadline(ctx, c.deadline)
		defer cancel()
		callerCtx = limited
	}
	o := c.runProgram(callerCtx, "")
	switch {
	case o == finished && p.Looping:
		o = turnLimited
	case o != finished && o != refused && ctx.Err() != nil:
		o = unfinished
	case o != finished && o != refused && callerCtx.Err() != nil:
		o = canceledByCaller
	}
	r.report.recordProgram(p, o, time.Since(opened), r.workload)
}

// caller sends the requests of one program: those of its caller, or of its parent for a child program.
type caller struct {
	run           *loadRun
	program       *workload.Program
	deadline      time.Time // zero if there is none
	programID     ids.Program
	historyTokens int64 // tokens of the program's history
	turnIndex     int
}

// runProgram opens the program, runs its turns and ends it.
func (c *caller) runProgram(ctx context.Context, parent ids.Program) outcome {
	open := api.OpenProgram{Team: teamName, Agent: c.program.Agent.Name, BudgetTokens: budgetTokens, Parent: parent}
	if parent != "" {
		open.BudgetTokens = childBudgetTokens
	}
	if !c.deadline.IsZero() {
		open.DeadlineMS = max(1, time.Until(c.deadline).Milliseconds())
	}
	if o := c.retryNotRun(ctx, func() error {
		opened, err := c.run.client.Open(ctx, open)
		c.programID = opened.ID
		return err
	}); o != finished {
		return o
	}
	o := c.runTurns(ctx)
	c.endProgram(ctx, o)
	return o
}

func (c *caller) runTurns(ctx context.Context) outcome {
	for i, t := range c.program.Turns {
		c.turnIndex = i
		if o := c.retryNotRun(ctx, func() error { return c.callModel(ctx) }); o != finished {
			return o
		}
		if i+1 == len(c.program.Turns) {
			break
		}
		if t.Child != nil {
			child := &caller{run: c.run, program: t.Child, deadline: c.deadline}
			if o := child.runProgram(ctx, c.programID); o != finished {
				return o
			}
			continue
		}
		call := api.Call{Key: callKey("t", i), Kind: api.CallTool, Tool: &api.ToolCall{
			Name: t.Tool, Args: fmt.Appendf(nil, `{"sleep_ms":%d}`, c.run.workload.pause(t).Milliseconds()),
		}}
		if o := c.retryNotRun(ctx, func() error {
			_, err := c.run.client.Call(ctx, c.programID, call)
			return err
		}); o != finished {
			return o
		}
	}
	return finished
}

// callModel makes the model call of the current turn.
func (c *caller) callModel(ctx context.Context) error {
	sent := time.Now()
	last := time.Time{}
	answer, err := c.run.client.Stream(ctx, c.programID, api.Call{
		Key: callKey("m", c.turnIndex), Kind: api.CallModel, Model: &api.ModelCall{Prompt: c.run.workload.prompt(c.program, c.turnIndex)},
	}, func(api.Piece) error {
		now := time.Now()
		if last.IsZero() {
			c.run.report.recordFirstToken(now.Sub(sent))
		} else {
			c.run.report.recordInterToken(now.Sub(last))
		}
		last = now
		return nil
	})
	if err == nil {
		c.run.report.recordTurn(answer.Usage, c.historyTokens)
		c.historyTokens = answer.Usage.PromptTokens + answer.Usage.GeneratedTokens
	}
	return err
}

// retryNotRun sends a request with the outcome "not run" again, after the delay in the answer, until the deadline of the
// program.
func (c *caller) retryNotRun(ctx context.Context, request func() error) outcome {
	for {
		err := request()
		if err == nil {
			return finished
		}
		f := fault.From(err, "load")
		if ctx.Err() != nil {
			return failed
		}
		if f.Outcome != fault.OutcomeNotRun || (f.Code != fault.CodeOverloaded && f.RetryAfterMS == 0 && f.Code != fault.CodePeerUnreachable) {
			c.run.report.recordError(err)
			return failed
		}
		c.run.report.recordRefusal(string(f.Code))
		wait := max(minRetryDelay, time.Duration(f.RetryAfterMS)*time.Millisecond)
		if !c.deadline.IsZero() && time.Now().Add(wait).After(c.deadline) {
			if c.turnIndex == 0 {
				return refused
			}
			return failed
		}
		if !sleep(ctx, wait) {
			return failed
		}
	}
}

// endProgram ends or cancels the program and records the time: from then on engines should have no cache of it.
func (c *caller) endProgram(ctx context.Context, o outcome) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
	defer cancel()
	endRequest := c.run.client.Cancel
	if o == finished {
		endRequest = c.run.client.End
	}
	if err := endRequest(ctx, c.programID); err != nil {
		c.run.report.recordError(fmt.Errorf("end program %s: %w", c.programID, err))
		return
	}
	c.run.mu.Lock()
	c.run.endedAt[c.programID] = time.Now()
	c.run.mu.Unlock()
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
