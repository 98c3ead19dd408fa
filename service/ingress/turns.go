package ingress

import (
	"bytes"
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/core/turnlog"
	"github.com/hyssopreel/hyssopreel/service/turns"
)

// Turns retains turns for the routes that have RetainTurns.
type Turns interface {
	// CheckCapacity returns an error if a turn with an input of that size could not be retained now.
	CheckCapacity(inputBytes int) error
	// Load returns the turns that a new one continues. turns.ErrNotFound is final; after any other error the caller may try
	// again.
	Load(ctx context.Context, r turns.Request) (turns.Chain, error)
	// Keep retains a turn. It returns without an error only if enough hosts have it on their disks.
	Keep(ctx context.Context, r turnlog.Record) error
}

// retainedTurn is the part of an exchange that concerns retained turns.
type retainedTurn struct {
	// anchor is that of the chain; it is not set at the start of one.
	anchor turnlog.Anchor
	// input is the body that the caller sent.
	input []byte
	// prompt is the body for backend servers: the turns that are continued and the caller's input.
	prompt []byte
	// output is the data of the events that were forwarded, each followed by a line feed.
	output []byte
}

var errOutputTooLarge = errors.New("the output is too large to be retained")

// loadTurns reads the turns that the request continues, if its route retains turns. It refuses a turn that could not be
// retained.
func (x *exchange) loadTurns(ctx context.Context) *failure {
	if !x.route.RetainTurns || x.ingress.turns == nil {
		return nil
	}
	unavailable := func(reason string, err error) *failure {
		return &failure{status: http.StatusServiceUnavailable, reason: reason, retryAfter: x.ingress.retryAfter(""), cause: err}
	}
	input, ok := x.input()
	if !ok {
		return x.noMemoryFailure("no memory for the turns", nil)
	}
	switch err := x.ingress.turns.CheckCapacity(len(input)); {
	case errors.Is(err, turns.ErrTooLarge):
		return &failure{status: http.StatusRequestEntityTooLarge, reason: "body too large", cause: err}
	case err != nil:
		return unavailable("turn cannot be retained", err)
	}
	retained := &retainedTurn{input: input}
	x.retained = retained
	if x.metadata.PreviousTurn == "" {
		retained.prompt = input
		return nil
	}
	reserve := func(n int) bool {
		// While the prompt is put together, the turns take memory twice.
		return x.memory.Reserve(int64(2 * n))
	}
	chain, err := x.ingress.turns.Load(ctx, turns.Request{
		Turn: x.metadata.PreviousTurn, Team: x.teamName(), Program: x.metadata.Program, Input: input, Reserve: reserve, Retention: x.table.LongestRetention(),
	})
	switch {
	case errors.Is(err, turns.ErrNotFound):
		logging.Emit(logging.TurnNotFound, logging.Fields{"request": x.metadata.Attempt, "turn": x.metadata.PreviousTurn, "error": err})
		return &failure{status: http.StatusNotFound, reason: "previous turn not retained", cause: err}
	case err != nil:
		logging.Emit(logging.TurnUncertain, logging.Fields{"request": x.metadata.Attempt, "turn": x.metadata.PreviousTurn, "error": err})
		return unavailable("previous turn not known", err)
	}
	retained.prompt, retained.anchor = chain.Prompt, chain.Anchor
	return nil
}

// input returns the body that the caller sent in one piece; ok is false if there is no memory for that.
func (x *exchange) input() (input []byte, ok bool) {
	if len(x.bodyParts) == 1 {
		return x.bodyParts[0], true
	}
	if !x.memory.Reserve(int64(partsBytes(x.bodyParts))) {
		return nil, false
	}
	return bytes.Join(x.bodyParts, nil), true
}

// upstreamBody returns the body for backend servers.
func (x *exchange) upstreamBody() [][]byte {
	if x.retained != nil {
		return [][]byte{x.retained.prompt}
	}
	return x.bodyParts
}

// upstreamBytes returns the size of the body for backend servers.
func (x *exchange) upstreamBytes() int { return partsBytes(x.upstreamBody()) }

func partsBytes(parts [][]byte) int {
	n := 0
	for _, part := range parts {
		n += len(part)
	}
	return n
}

// collectOutput adds whole events of a server to the output of the turn.
func (x *exchange) collectOutput(events []byte) error {
	t, before := x.retained, len(x.retained.output)
	for line := range bytes.Lines(events) {
		if data, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			data = bytes.TrimSuffix(bytes.TrimSuffix(data, []byte("\n")), []byte("\r"))
			t.output = append(append(t.output, bytes.TrimPrefix(data, []byte(" "))...), '\n')
		}
	}
	if !x.memory.Reserve(int64(len(t.output) - before)) {
		return errors.Wrap(errOutputTooLarge, "no memory")
	}
	if len(t.output) > turns.MaxOutputBytes(len(t.input)) {
		return errOutputTooLarge
	}
	return nil
}

// keepTurn retains a turn whose response is complete except for its end. If that fails, the connection is reset, so that
// the caller does not take the turn for one that can be continued.
func (x *exchange) keepTurn(ctx context.Context) *failure {
	err := x.ingress.turns.Keep(ctx, turnlog.Record{
		Meta: turnlog.Meta{
			ID: x.metadata.Attempt, Previous: x.metadata.PreviousTurn, Team: x.teamName(), Program: x.metadata.Program,
			Anchor: x.retained.anchor, Retention: x.route.ProgramRetention,
		},
		Input: x.retained.input, Output: x.retained.output,
	})
	if err == nil {
		return nil
	}
	logging.Emit(logging.TurnNotKept, logging.Fields{"request": x.metadata.Attempt, "error": err})
	return &failure{reason: "turn not retained", cause: err}
}
