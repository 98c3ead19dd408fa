package entry

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/common/tracing"
	"github.com/hyssopreel/hyssopreel/common/wire"
	"github.com/hyssopreel/hyssopreel/core/program"
	"github.com/hyssopreel/hyssopreel/service/membership"
)

// op names what a request asks of a program's home.
type op string

const (
	opOpen    op = "open"
	opCall    op = "call"
	opOutcome op = "outcome"
	opStatus  op = "status"
	opHistory op = "history"
	opEnd     op = "end"
	opCancel  op = "cancel"
)

// homeRequest is what the entry asks of a home, in this process or in a call frame.
type homeRequest struct {
	Op      op               `msgpack:"o"`
	Program ids.Program      `msgpack:"p,omitempty"`
	Key     string           `msgpack:"k,omitempty"`
	Open    *api.OpenProgram `msgpack:"op,omitempty"`
	Call    *api.Call        `msgpack:"c,omitempty"`
}

// homeResult is the answer of a home. A frame with a piece is followed by more; the last one has the rest.
type homeResult struct {
	Piece   *api.Piece         `msgpack:"pi,omitempty"`
	Opened  *api.ProgramOpened `msgpack:"op,omitempty"`
	Answer  *api.CallAnswer    `msgpack:"a,omitempty"`
	Status  *api.ProgramStatus `msgpack:"s,omitempty"`
	History *api.History       `msgpack:"h,omitempty"`
}

// findHome finds the home of the request: the journal in the program ID names it, or the host that adopted
// that journal. A new program lives at this host, or at its parent's home.
func (s *Server) findHome(q homeRequest) (membership.Member, *fault.Error) {
	id := q.Program
	if q.Op == opOpen {
		if id = q.Open.Parent; id == "" {
			return s.homeForNewProgram(), nil
		}
	}
	journal, _, err := id.Parse()
	if err != nil {
		return membership.Member{}, fault.New(fault.CodeInvalidRequest, "find home", "%v", err)
	}
	m, ok := s.opts.View.HomeOf(journal)
	if !ok && !s.knownJournal(journal) {
		// The host may have joined a moment ago.
		return m, fault.New(fault.CodeNotFound, "find home", "program %s: there is no host %q", id, journal.Host()).WithRetryAfter(takeoverRetryAfter)
	}
	if !ok {
		return m, fault.New(fault.CodePeerUnreachable, "find home", "the home of program %s is not known or is being taken over", id).WithRetryAfter(takeoverRetryAfter)
	}
	return m, nil
}

// knownJournal says whether the host of a journal is a member, or a member adopted the journal. Hosts that are gone count.
func (s *Server) knownJournal(j ids.Journal) bool {
	return slices.ContainsFunc(s.opts.View.Members(), func(m membership.Member) bool {
		return m.Name == j.Host() || slices.Contains(m.Adopted, j)
	})
}

// doAtHome carries the request out at its home, at most one hop away. emit hears the pieces of a stream.
func (s *Server) doAtHome(ctx context.Context, q homeRequest, emit func(api.Piece)) (*homeResult, error) {
	for {
		home, ferr := s.findHome(q)
		if ferr != nil {
			return nil, ferr
		}
		if home.Journal != s.opts.View.Self().Journal {
			return s.forward(ctx, home, q, emit)
		}
		if s.localGate.tryBeginRequest() {
			defer s.localGate.endRequest()
			ctx, span := s.tracer.Start(ctx, "home "+string(q.Op), trace.WithAttributes(attribute.String("program", string(q.Program))))
			res, err := s.doLocal(ctx, q, emit)
			tracing.End(span, err)
			return res, err
		}
		if err := s.localGate.waitUntilResumed(ctx); err != nil {
			return nil, err
		}
	}
}

// homeForNewProgram is the home of a new program: this host, or another one while this one shuts down.
func (s *Server) homeForNewProgram() membership.Member {
	if ranked := s.opts.View.RendezvousOrder(randomKey()); s.draining.Load() && len(ranked) > 0 {
		return ranked[0]
	}
	return s.opts.View.Self()
}

func randomKey() string { return strconv.FormatUint(rand.Uint64(), 36) }

func (s *Server) forward(ctx context.Context, home membership.Member, q homeRequest, emit func(api.Piece)) (*homeResult, error) {
	ctx, span := s.tracer.Start(ctx, "forward "+string(q.Op), trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("program", string(q.Program)), attribute.String("home", string(home.Name))))
	res, err := s.sendToHome(ctx, home, q, emit)
	tracing.End(span, err)
	return res, err
}

// sendToHome sends the request to its home and reads the answer.
func (s *Server) sendToHome(ctx context.Context, home membership.Member, q homeRequest, emit func(api.Piece)) (*homeResult, error) {
	x, err := s.opts.Node.Open(ctx, home.PeerAddress, wire.TypeForwardCall, q)
	if err != nil {
		return nil, err
	}
	defer x.Close()
	for {
		p, err := x.Next(ctx)
		if errors.Is(err, io.EOF) {
			return nil, fault.New(fault.CodeInternal, "forward", "the answer has no end").WithPeer(string(home.Name)).WithOutcome(fault.OutcomeUnknown)
		}
		if err != nil {
			return nil, err
		}
		var r homeResult
		if err := p.Decode(&r); err != nil {
			return nil, fault.New(fault.CodeInternal, "forward", "%v", err).WithPeer(string(home.Name)).WithOutcome(fault.OutcomeUnknown)
		}
		if p.Last {
			return &r, nil
		}
		if r.Piece != nil && emit != nil {
			emit(*r.Piece)
		}
	}
}

// handleForwarded serves a request that another entry forwarded. It is not forwarded again.
func (s *Server) handleForwarded(ctx context.Context, r *wire.Request) {
	var q homeRequest
	if err := r.Decode(&q); err != nil {
		_ = r.Fail(fault.New(fault.CodeInvalidRequest, "decode request", "%v", err))
		return
	}
	if home, ferr := s.findHome(q); ferr != nil || home.Journal != s.opts.View.Self().Journal {
		_ = r.Fail(fault.New(fault.CodeMoved, "home", "program %s does not live here", q.Program).WithPeer(string(s.opts.View.Self().Name)))
		return
	}
	// During a handover the request waits here, and do then passes it on to the heir.
	res, err := s.doAtHome(ctx, q, func(p api.Piece) { _ = r.SendPiece(homeResult{Piece: &p}) })
	if err != nil {
		_ = r.Fail(err)
		return
	}
	_ = r.Answer(res)
}

// doLocal carries the request out at this host.
func (s *Server) doLocal(ctx context.Context, q homeRequest, emit func(api.Piece)) (*homeResult, error) {
	h := s.opts.Home
	switch q.Op {
	case opOpen:
		id, err := h.Open(ctx, *q.Open)
		if err != nil {
			return nil, err
		}
		return &homeResult{Opened: &api.ProgramOpened{ID: id, Home: hostAddress(s.opts.View.Self())}}, nil
	case opCall:
		return s.doLocalCall(ctx, q, emit)
	case opEnd, opCancel:
		st, err := h.End(ctx, q.Program, q.Op == opCancel)
		return &homeResult{Status: st}, err
	}
	queries := map[op]program.Query{
		opOutcome: program.QueryCall, opStatus: program.QueryStatus, opHistory: program.QueryHistory,
	}
	query, ok := queries[q.Op]
	if !ok {
		return nil, fault.New(fault.CodeInvalidRequest, "home", "unknown operation %q", string(q.Op))
	}
	r, err := h.Read(ctx, query, q.Program, q.Key)
	if err != nil {
		return nil, err
	}
	return &homeResult{Answer: r.Answer, Status: r.Status, History: r.History}, nil
}

func (s *Server) doLocalCall(ctx context.Context, q homeRequest, emit func(api.Piece)) (*homeResult, error) {
	w := s.opts.Home.Call(ctx, q.Program, *q.Call)
	for {
		piece, reply, err := w.Next(ctx)
		switch {
		case err != nil:
			return nil, err
		case piece != nil:
			if emit != nil {
				emit(*piece)
			}
		case reply.Error != nil:
			return nil, reply.Error
		default:
			return &homeResult{Answer: reply.Answer}, nil
		}
	}
}
