package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/core/event"
	"github.com/hyssopreel/hyssopreel/core/program"
	"github.com/hyssopreel/hyssopreel/core/sched"
)

const (
	journalID = ids.Journal("almaty-a-1.1")
	// turnBytes is the text of one turn: 320,000 tokens in 280 turns, at about 4 bytes per token.
	turnBytes    = 4571
	budgetTokens = 1 << 40
)

// vocabulary has random words for randomText: text made of them compresses like prose, unlike repeated or random bytes.
var vocabulary = func() []string {
	rng := rand.New(rand.NewPCG(1, 2))
	words := make([]string, 4000)
	for i := range words {
		b := make([]byte, 2+rng.IntN(9))
		for j := range b {
			b[j] = "etaoinshrdlucmfwypvbgkqjxz"[min(rng.IntN(26), rng.IntN(26))]
		}
		words[i] = string(b)
	}
	return words
}()

func randomText(rng *rand.Rand, n int) string {
	var b strings.Builder
	b.Grow(n + 12)
	for b.Len() < n {
		b.WriteString(vocabulary[min(rng.IntN(len(vocabulary)), rng.IntN(len(vocabulary)))])
		b.WriteByte(' ')
	}
	return b.String()[:n]
}

func testConfig(teams int) config.Config {
	c := config.Config{Number: 1, Objects: config.Objects{
		Pools:  map[string]*config.Pool{"lm": {Kind: "engine", Model: "m", MaxRunning: 8, CacheTokens: 100_000}},
		Agents: map[string]*config.Agent{"judge": {Pool: "lm", Class: "interactive", MaxTokens: 1024, MaxTurns: 1 << 20}},
		Teams:  map[string]*config.Team{},
	}}
	for i := range teams {
		c.Objects.Teams[fmt.Sprintf("team-%04d", i)] = &config.Team{MaxBudgetTokens: budgetTokens, MaxOpenPrograms: 1 << 30}
	}
	return c
}

// home is a program reducer whose commits become durable when confirmCommits is called.
type home struct {
	state          *program.State
	now            clock.Millis
	programs       []ids.Program
	rng            *rand.Rand
	pendingCommits []program.Commit
	lastDispatch   program.Dispatch
	lastEnqueued   sched.Enqueued
	// onCommit, if set, receives the commits, which are then not added to pendingCommits.
	onCommit func(program.Commit)
	// wrapReduce, if set, is called for each event and has to call the function that it receives.
	wrapReduce func(event.Event, func() []event.Effect) []event.Effect
}

func newHome(programs int) *home {
	h := &home{state: program.New(), now: 1000, rng: rand.New(rand.NewPCG(3, 4))}
	h.reduce(program.Started{Journal: journalID, Limits: program.Limits{
		MaxQueuedCalls: 16, OrderTimeout: 2 * time.Second, IdleTimeout: 24 * time.Hour, Retention: time.Hour, MaxUncommittedBytes: 1 << 30,
	}})
	h.reduce(program.ConfigChanged{Config: testConfig(10)})
	h.reduce(program.GroupsChanged{GroupCounts: map[string]int{"lm": 94}})
	for range programs {
		h.openProgram()
	}
	h.confirmCommits()
	return h
}

func (h *home) openProgram() {
	h.reduce(program.OpenRequested{Request: api.OpenProgram{Team: "team-0001", Agent: "judge", BudgetTokens: budgetTokens}})
	h.programs = append(h.programs, ids.NewProgram(journalID, uint64(len(h.programs)+1)))
}

func (h *home) reduce(e event.Event) {
	reduce := func() []event.Effect { return h.state.Reduce(h.now, e) }
	var effects []event.Effect
	if h.wrapReduce != nil {
		effects = h.wrapReduce(e, reduce)
	} else {
		effects = reduce()
	}
	for _, effect := range effects {
		switch effect := effect.(type) {
		case program.Commit:
			if h.onCommit != nil {
				h.onCommit(effect)
			} else {
				h.pendingCommits = append(h.pendingCommits, effect)
			}
		case program.Dispatch:
			h.lastDispatch = effect
		case program.Enqueue:
			h.lastEnqueued = effect.Request
		}
	}
}

// confirmCommits makes all commits durable.
func (h *home) confirmCommits() {
	for len(h.pendingCommits) > 0 {
		upTo := h.pendingCommits[len(h.pendingCommits)-1].Seq
		h.pendingCommits = nil
		h.reduce(program.Committed{UpTo: upTo})
	}
}

// startCall submits a model call and grants it, so that it is dispatched.
func (h *home) startCall(p ids.Program, key string, requestBytes int) {
	h.reduce(program.CallSubmitted{Program: p, Call: api.Call{Key: key, Kind: api.CallModel, Model: &api.ModelCall{Prompt: randomText(h.rng, requestBytes)}}})
	h.confirmCommits()
	q := h.lastEnqueued
	h.reduce(program.Granted{Call: q.Call, Group: q.Group, Worker: "reel-lm-4711"})
}

// runCall runs a model call until its turn is durable. A quarter of textBytes is the request, the rest the answer.
func (h *home) runCall(p ids.Program, key string, textBytes int) {
	h.startCall(p, key, textBytes/4)
	h.reduce(program.DispatchEnded{
		Call: h.lastDispatch.Call, Result: program.ResultCompleted, Text: randomText(h.rng, textBytes-textBytes/4),
		Usage: api.Usage{PromptTokens: 1, GeneratedTokens: 1, CostTokens: 2},
	})
	h.confirmCommits()
}
