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
	// prompt is the body for backend servers: the turns that are continued and the caller's input.
	prompt []byte
	// reservedBytes count as bodies in memory until the exchange ends.
	reservedBytes int64
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
	switch err := x.ingress.turns.CheckCapacity(len(x.body)); {
	case errors.Is(err, turns.ErrTooLarge):
		return &failure{status: http.StatusRequestEntityTooLarge, reason: "body too large", cause: err}
	case err != nil:
		return unavailable("turn cannot be retained", err)
	}
	retained := &retainedTurn{}
	x.retained = retained
	if x.metadata.PreviousTurn == "" {
		retained.prompt = x.body
		return nil
	}
	reserve := func(n int) bool {
		// While the prompt is put together, the turns take memory twice.
		if !x.ingress.reserveBodyMemory(int64(2 * n)) {
			return false
		}
		retained.reservedBytes += int64(2 * n)
		return true
	}
	chain, err := x.ingress.turns.Load(ctx, turns.Request{
		Turn: x.metadata.PreviousTurn, Team: x.teamName(), Program: x.metadata.Program, Input: x.body, Reserve: reserve,
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

// releaseTurns gives the memory of the turns back.
func (x *exchange) releaseTurns() {
	if x.retained != nil {
		x.ingress.bufferedBodyBytes.Add(-x.retained.reservedBytes)
	}
}

// upstreamBody returns the body for backend servers.
func (x *exchange) upstreamBody() []byte {
	if x.retained != nil {
		return x.retained.prompt
	}
	return x.body
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
	added := int64(len(t.output) - before)
	t.reservedBytes += added
	x.ingress.bufferedBodyBytes.Add(added)
	if len(t.output) > turns.MaxOutputBytes(len(x.body)) {
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
		Input: x.body, Output: x.retained.output,
	})
	if err == nil {
		return nil
	}
	logging.Emit(logging.TurnNotKept, logging.Fields{"request": x.metadata.Attempt, "error": err})
	return &failure{reason: "turn not retained", cause: err}
}
