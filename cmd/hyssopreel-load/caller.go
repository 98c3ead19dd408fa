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
	// minRetry is the pause before a call that did not run is sent again, if the answer names none.
	minRetry = 50 * time.Millisecond
	// lastRequests bounds the requests that end programs after the event.
	lastRequests = 10 * time.Second
	// maxErrors is the number of errors that are shown.
	maxErrors = 10
)

// outcome is how a program ended.
type outcome string

const (
	finished   outcome = "finished"
	looped     outcome = "looped" // stopped by its turn limit
	hungUp     outcome = "hung up"
	refused    outcome = "refused"
	failed     outcome = "failed"
	unfinished outcome = "unfinished"
)

// run drives the programs of one event.
type run struct {
	event  *event
	client *client.Client
	report *report
	start  time.Time

	mu    sync.Mutex
	ended map[ids.Program]time.Time
}

// all runs the programs, each from its arrival on, and returns when all have ended or the horizon is reached.
func (r *run) all(ctx context.Context, programs []*workload.Program) {
	ctx, cancel := context.WithTimeout(ctx, r.event.horizon())
	defer cancel()
	r.start = time.Now()
	var wg sync.WaitGroup
	for _, p := range programs {
		wg.Go(func() {
			if !pause(ctx, r.event.arrival(p)) {
				r.report.program(p, unfinished, 0, r.event)
				return
			}
			r.program(ctx, p)
		})
	}
	wg.Wait()
}

// program runs one program that a caller opens.
func (r *run) program(ctx context.Context, p *workload.Program) {
	opened := time.Now()
	c := &caller{run: r, program: p}
	if p.Agent.DeadlineS > 0 {
		c.deadline = opened.Add(r.event.due(p.Agent.DeadlineS))
	}
	callerCtx := ctx
	if p.Agent.HangUp {
		limited, cancel := context.WithDeadline(ctx, c.deadline)
		defer cancel()
		callerCtx = limited
	}
	o := c.do(callerCtx, "")
	switch {
	case o == finished && p.Looping:
		o = looped
	case o != finished && o != refused && ctx.Err() != nil:
		o = unfinished
	case o != finished && o != refused && callerCtx.Err() != nil:
		o = hungUp
	}
	r.report.program(p, o, time.Since(opened), r.event)
}

// caller is the caller of one program, or the parent of a helper.
type caller struct {
	run      *run
	program  *workload.Program
	deadline time.Time // zero without one
	id       ids.Program
	history  int64 // tokens of the program's history
	turn     int
}

// do opens the program, runs its turns and ends it.
func (c *caller) do(ctx context.Context, parent ids.Program) outcome {
	open := api.OpenProgram{Team: teamName, Agent: c.program.Agent.Name, BudgetTokens: budgetLimit, Parent: parent}
	if parent != "" {
		open.BudgetTokens = helperBudget
	}
	if !c.deadline.IsZero() {
		open.DeadlineMS = max(1, time.Until(c.deadline).Milliseconds())
	}
	if o := c.retry(ctx, func() error {
		opened, err := c.run.client.Open(ctx, open)
		c.id = opened.ID
		return err
	}); o != finished {
		return o
	}
	o := c.turns(ctx)
	c.end(ctx, o)
	return o
}

func (c *caller) turns(ctx context.Context) outcome {
	for i, t := range c.program.Turns {
		c.turn = i
		if o := c.retry(ctx, func() error { return c.model(ctx) }); o != finished {
			return o
		}
		if i+1 == len(c.program.Turns) {
			break
		}
		if t.Helper != nil {
			helper := &caller{run: c.run, program: t.Helper, deadline: c.deadline}
			if o := helper.do(ctx, c.id); o != finished {
				return o
			}
			continue
		}
		call := api.Call{Key: key("t", i), Kind: api.CallTool, Tool: &api.ToolCall{
			Name: t.Tool, Args: fmt.Appendf(nil, `{"sleep_ms":%d}`, c.run.event.pause(t).Milliseconds()),
		}}
		if o := c.retry(ctx, func() error {
			_, err := c.run.client.Call(ctx, c.id, call)
			return err
		}); o != finished {
			return o
		}
	}
	return finished
}

// model makes the model call of the present turn.
func (c *caller) model(ctx context.Context) error {
	sent := time.Now()
	last := time.Time{}
	a, err := c.run.client.Stream(ctx, c.id, api.Call{
		Key: key("m", c.turn), Kind: api.CallModel, Model: &api.ModelCall{Prompt: c.run.event.prompt(c.program, c.turn)},
	}, func(api.Piece) error {
		now := time.Now()
		if last.IsZero() {
			c.run.report.firstToken(now.Sub(sent))
		} else {
			c.run.report.betweenTokens(now.Sub(last))
		}
		last = now
		return nil
	})
	if err == nil {
		c.run.report.turn(a.Usage, c.history)
		c.history = a.Usage.PromptTokens + a.Usage.GeneratedTokens
	}
	return err
}

// retry repeats a request that did not run, after the time that the answer names, until its caller's deadline.
func (c *caller) retry(ctx context.Context, request func() error) outcome {
	for {
		err := request()
		if err == nil {
			return finished
		}
		f := fault.From(err, "load")
		if ctx.Err() != nil {
			return failed
		}
		if f.Outcome != fault.NotRun || (f.Code != fault.CodeOverloaded && f.RetryAfterMS == 0 && f.Code != fault.CodePeerUnreachable) {
			c.run.report.failed(err)
			return failed
		}
		c.run.report.refusal(string(f.Code))
		wait := max(minRetry, time.Duration(f.RetryAfterMS)*time.Millisecond)
		if !c.deadline.IsZero() && time.Now().Add(wait).After(c.deadline) {
			if c.turn == 0 {
				return refused
			}
			return failed
		}
		if !pause(ctx, wait) {
			return failed
		}
	}
}

// end ends or cancels the program and remembers when, because engines may hold no cache of it from then on.
func (c *caller) end(ctx context.Context, o outcome) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastRequests)
	defer cancel()
	finish := c.run.client.Cancel
	if o == finished {
		finish = c.run.client.End
	}
	if err := finish(ctx, c.id); err != nil {
		c.run.report.failed(fmt.Errorf("end program %s: %w", c.id, err))
		return
	}
	c.run.mu.Lock()
	c.run.ended[c.id] = time.Now()
	c.run.mu.Unlock()
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
