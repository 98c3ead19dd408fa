package replay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/core"
	"github.com/hyssopreel/hyssopreel/core/configstate"
	"github.com/hyssopreel/hyssopreel/core/event"
	"github.com/hyssopreel/hyssopreel/core/program"
)

// Summary contains the outcomes of a log: the state after its last event, and the dispatches and answers of the host.
type Summary struct {
	// Ticket is the number of the ticket in force after the last event.
	Ticket   uint64    `json:"ticket"`
	Programs []Program `json:"programs"`
	// NonIdempotentDispatches counts the dispatches of each non-idempotent call, by "<program>/<key>".
	NonIdempotentDispatches map[string]int `json:"dispatched_once"`
	Answers                 []Answer       `json:"answers"`
}

// Program is the state of a program after the last event.
type Program struct {
	ID           ids.Program `json:"id"`
	State        string      `json:"state"`
	BudgetTokens int64       `json:"budget_tokens"`
	SpentTokens  int64       `json:"spent_tokens"`
	Turns        []Turn      `json:"turns"`
}

// Turn is one turn of a program's history. Outcome is "done", or the code and the outcome of its error.
type Turn struct {
	Seq        int          `json:"seq"`
	Key        string       `json:"key"`
	Kind       api.CallKind `json:"kind"`
	Outcome    string       `json:"outcome"`
	CostTokens int64        `json:"cost_tokens"`
}

// Answer is the request of a waiter and its answer, "none" if there is none in the log.
type Answer struct {
	Waiter  program.WaiterID `json:"waiter"`
	Request string           `json:"request"`
	Answer  string           `json:"answer"`
}

const noAnswer = "none"

// unlistedWaiter is the answer index of the waiters of cache reconciliation, which are left out: its queries are
// periodic and have no caller.
const unlistedWaiter = -1

// collector records the outcomes while a log is replayed.
type collector struct {
	summary     Summary
	answerIndex map[program.WaiterID]int // index in summary.Answers, or unlistedWaiter
}

// Summarize replays a log and returns its outcomes. A second answer to a waiter and an answer to a waiter without a
// request are errors.
func Summarize(log io.Reader) (*Summary, error) {
	c := collector{
		summary:     Summary{Programs: []Program{}, NonIdempotentDispatches: map[string]int{}, Answers: []Answer{}},
		answerIndex: map[program.WaiterID]int{},
	}
	state, at, err := Run(log, func(i int, e event.Envelope, effects []event.Effect) error {
		c.recordRequest(e.Event)
		for _, eff := range effects {
			if err := c.recordEffect(eff); err != nil {
				return errors.Wrapf(err, "effects of event %d", i)
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return &c.summary, c.readPrograms(state, at)
}

func (c *collector) recordRequest(e event.Event) {
	switch e := e.(type) {
	case program.OpenRequested:
		c.addWaiter(e.Waiter, "open %s for %s", e.Request.Agent, e.Request.Team)
	case program.CallSubmitted:
		c.addWaiter(e.Waiter, "call %s/%s", e.Program, e.Call.Key)
	case program.EndRequested:
		verb := "end"
		if e.Cancel {
			verb = "cancel"
		}
		c.addWaiter(e.Waiter, "%s %s", verb, e.Program)
	case program.AdoptionRequested:
		c.addWaiter(e.Waiter, "adopt %s", e.Journal)
	case program.ReadRequested:
		if e.Query == program.QueryOpen {
			c.answerIndex[e.Waiter] = unlistedWaiter
			return
		}
		c.addWaiter(e.Waiter, "read %s %s%s", e.Query, e.Program, e.Key)
	}
}

func (c *collector) addWaiter(w program.WaiterID, format string, args ...any) {
	c.answerIndex[w] = len(c.summary.Answers)
	c.summary.Answers = append(c.summary.Answers, Answer{Waiter: w, Request: fmt.Sprintf(format, args...), Answer: noAnswer})
}

func (c *collector) recordEffect(eff event.Effect) error {
	switch eff := eff.(type) {
	case configstate.ActivateDocument:
		c.summary.Ticket = eff.Document.Number
	case program.Dispatch:
		if !eff.Idempotent {
			c.summary.NonIdempotentDispatches[string(eff.Call.Program)+"/"+eff.Call.Key]++
		}
	case program.Reply:
		return c.recordReply(eff)
	}
	return nil
}

func (c *collector) recordReply(r program.Reply) error {
	i, ok := c.answerIndex[r.Waiter]
	switch {
	case !ok:
		return errors.Newf("answer to waiter %d, which has no request", r.Waiter)
	case i == unlistedWaiter:
	case c.summary.Answers[i].Answer != noAnswer:
		return errors.Newf("second answer to waiter %d", r.Waiter)
	default:
		c.summary.Answers[i].Answer = replyText(r)
	}
	return nil
}

func replyText(r program.Reply) string {
	switch {
	case r.Error != nil:
		return errorText(r.Error)
	case r.Opened != "":
		return "opened " + string(r.Opened)
	case r.Answer != nil && r.Answer.Error != nil:
		return fmt.Sprintf("%s, seq %d: %s", r.Answer.State, r.Answer.Seq, errorText(r.Answer.Error))
	case r.Answer != nil:
		return fmt.Sprintf("%s, seq %d: %s", r.Answer.State, r.Answer.Seq, r.Answer.Text)
	case r.Status != nil:
		return fmt.Sprintf("%s, %d turns, %d tokens spent", r.Status.State, r.Status.Turns, r.Status.SpentTokens)
	case r.History != nil:
		return fmt.Sprintf("%d turns", len(r.History.Turns))
	case r.List != nil:
		return fmt.Sprintf("%d programs", len(r.List))
	default:
		return fmt.Sprintf("adopted %d programs", r.Adopted)
	}
}

func errorText(e *fault.Error) string { return fmt.Sprintf("%s, %s", e.Code, e.Outcome) }

// queryWaiter is the waiter of the queries after the log. The counter of a host's waiter IDs does not reach it.
const queryWaiter = ^program.WaiterID(0)

// readPrograms adds the programs to the summary with the queries that callers use.
func (c *collector) readPrograms(state *core.State, at clock.Millis) error {
	read := func(query program.Query, id ids.Program) (program.Reply, error) {
		e := program.ReadRequested{Waiter: queryWaiter, Query: query, Program: id}
		for _, eff := range core.Reduce(state, event.Envelope{At: at, Event: e}) {
			if r, ok := eff.(program.Reply); ok && r.Waiter == queryWaiter {
				if r.Error != nil {
					return r, r.Error
				}
				return r, nil
			}
		}
		return program.Reply{}, errors.Newf("no reply to the query %q", string(query))
	}
	list, err := read(program.QueryList, "")
	if err != nil {
		return err
	}
	for _, status := range list.List {
		reply, err := read(program.QueryHistory, status.ID)
		if err != nil {
			return err
		}
		c.summary.Programs = append(c.summary.Programs, SummarizeProgram(status, *reply.History))
	}
	return nil
}

// SummarizeProgram returns the outcomes of a program from its status and its history.
func SummarizeProgram(s api.ProgramStatus, h api.History) Program {
	p := Program{ID: s.ID, State: s.State, BudgetTokens: s.BudgetTokens, SpentTokens: s.SpentTokens, Turns: []Turn{}}
	for _, t := range h.Turns {
		turn := Turn{Seq: t.Seq, Key: t.Key, Kind: t.Kind, Outcome: "done", CostTokens: t.Usage.CostTokens}
		if t.Error != nil {
			turn.Outcome = errorText(t.Error)
		}
		p.Turns = append(p.Turns, turn)
	}
	return p
}

// Write writes the outcomes as JSON, with one turn or answer per line.
func (o *Summary) Write(w io.Writer) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "{\n  \"ticket\": %d,\n  \"programs\": [", o.Ticket)
	for i, p := range o.Programs {
		fmt.Fprintf(&b, "%s\n    {\"id\": %s, \"state\": %s, \"budget_tokens\": %d, \"spent_tokens\": %d, \"turns\": [",
			separator(i), compactJSON(p.ID), compactJSON(p.State), p.BudgetTokens, p.SpentTokens)
		for j, t := range p.Turns {
			fmt.Fprintf(&b, "%s\n      %s", separator(j), compactJSON(t))
		}
		b.WriteString("\n    ]}")
	}
	dispatches, err := json.MarshalIndent(o.NonIdempotentDispatches, "  ", "  ")
	if err != nil {
		return err
	}
	fmt.Fprintf(&b, "\n  ],\n  \"dispatched_once\": %s,\n  \"answers\": [", dispatches)
	for i, a := range o.Answers {
		fmt.Fprintf(&b, "%s\n    %s", separator(i), compactJSON(a))
	}
	b.WriteString("\n  ]\n}\n")
	_, err = w.Write(b.Bytes())
	return errors.Wrap(err, "write outcomes")
}

func separator(i int) string {
	if i == 0 {
		return ""
	}
	return ","
}

// compactJSON encodes a value on one line. The values of this package cannot fail to encode.
func compactJSON(v any) []byte {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	_ = e.Encode(v)
	return bytes.TrimSpace(b.Bytes())
}

// ParseSummary decodes a file of outcomes; other content, such as effects, is an error.
func ParseSummary(b []byte) (*Summary, error) {
	var o Summary
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&o); err != nil {
		return nil, errors.Wrap(err, "decode outcomes")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("decode outcomes: data after the JSON value")
	}
	return &o, nil
}

// Difference describes the first line that differs between expected and replayed outcomes; it is empty if they are
// equal.
func Difference(expected, replayed *Summary) (string, error) {
	var want, got bytes.Buffer
	if err := errors.CombineErrors(expected.Write(&want), replayed.Write(&got)); err != nil {
		return "", err
	}
	wantLines, gotLines := bytes.Split(want.Bytes(), []byte("\n")), bytes.Split(got.Bytes(), []byte("\n"))
	for i := range max(len(wantLines), len(gotLines)) {
		switch {
		case i >= len(wantLines):
			return fmt.Sprintf("not expected: %s", bytes.TrimSpace(gotLines[i])), nil
		case i >= len(gotLines):
			return fmt.Sprintf("not replayed: %s", bytes.TrimSpace(wantLines[i])), nil
		case !bytes.Equal(wantLines[i], gotLines[i]):
			return fmt.Sprintf("outcomes differ\n  expected: %s\n  replayed: %s", bytes.TrimSpace(wantLines[i]), bytes.TrimSpace(gotLines[i])), nil
		}
	}
	return "", nil
}
