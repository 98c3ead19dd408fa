package entry

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

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

// op is the operation of a homeRequest.
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

// homeRequest is a request to a program's home, which is this host or the peer that receives it in a
// wire.TypeForwardCall frame.
type homeRequest struct {
	Op      op               `msgpack:"o"`
	Program ids.Program      `msgpack:"p,omitempty"`
	Key     string           `msgpack:"k,omitempty"`
	Open    *api.OpenProgram `msgpack:"op,omitempty"`
	Call    *api.Call        `msgpack:"c,omitempty"`
}

// homeResult is the response of a home. In a streamed response, each frame but the last contains a Piece; the last
// contains the field of the operation.
type homeResult struct {
	Piece   *api.Piece         `msgpack:"pi,omitempty"`
	Opened  *api.ProgramOpened `msgpack:"op,omitempty"`
	Answer  *api.CallAnswer    `msgpack:"a,omitempty"`
	Status  *api.ProgramStatus `msgpack:"s,omitempty"`
	History *api.History       `msgpack:"h,omitempty"`
}

// findHome returns the home of the request's program: the host of the journal in the program ID, or the host that
// adopted this journal. The home of a new program is its parent's home, or homeForNewProgram without a parent.
func (s *Server) findHome(request homeRequest) (membership.Member, *fault.Error) {
	id := request.Program
	if request.Op == opOpen {
		if id = request.Open.Parent; id == "" {
			return s.homeForNewProgram(), nil
		}
	}
	journal, _, err := id.Parse()
	if err != nil {
		return membership.Member{}, fault.New(fault.CodeInvalidRequest, "find home", "%v", err)
	}
	home, ok := s.opts.View.HomeOf(journal)
	if !ok && !s.knownJournal(journal) {
		// The error has a retry delay because the host may have joined just now and be missing from the view.
		return home, fault.New(fault.CodeNotFound, "find home", "program %s: host %q is not in the member list", id, journal.Host()).WithRetryAfter(takeoverRetryAfter)
	}
	if !ok {
		return home, fault.New(fault.CodePeerUnreachable, "find home", "the home of program %s is not known or is being taken over", id).WithRetryAfter(takeoverRetryAfter)
	}
	return home, nil
}

// awaitHome is findHome, but waits up to homeWait while the program is being taken over: this host may not have
// received the adopter's record yet.
func (s *Server) awaitHome(ctx context.Context, request homeRequest) (membership.Member, *fault.Error) {
	deadline := time.Now().Add(homeWait)
	for {
		home, ferr := s.findHome(request)
		if ferr == nil || ferr.Code != fault.CodePeerUnreachable || time.Now().After(deadline) {
			return home, ferr
		}
		select {
		case <-time.After(homePollInterval):
		case <-ctx.Done():
			return home, ferr
		}
	}
}

// knownJournal reports whether the journal's host is in the member list, in any state, or a member adopted the journal.
func (s *Server) knownJournal(j ids.Journal) bool {
	return slices.ContainsFunc(s.opts.View.Members(), func(m membership.Member) bool {
		return m.Name == j.Host() || slices.Contains(m.Adopted, j)
	})
}

// doAtHome executes the request at its home, which is this host or a peer one hop away. It calls emit, unless nil, with
// each piece of a streamed response.
func (s *Server) doAtHome(ctx context.Context, request homeRequest, emit func(api.Piece)) (*homeResult, error) {
	for {
		home, ferr := s.awaitHome(ctx, request)
		if ferr != nil {
			return nil, ferr
		}
		if home.Journal != s.opts.View.Self().Journal {
			return s.forward(ctx, home, request, emit)
		}
		if s.localGate.tryBeginRequest() {
			defer s.localGate.endRequest()
			ctx, span := s.tracer.Start(ctx, "home "+string(request.Op), trace.WithAttributes(attribute.String("program", string(request.Program))))
			result, err := s.doLocal(ctx, request, emit)
			tracing.End(span, err)
			return result, err
		}
		if err := s.localGate.waitUntilResumed(ctx); err != nil {
			return nil, err
		}
	}
}

// homeForNewProgram returns the home of a new program without a parent: this host or, while it drains, a random host
// that is up.
func (s *Server) homeForNewProgram() membership.Member {
	if hosts := s.opts.View.RendezvousOrder(randomKey()); s.draining.Load() && len(hosts) > 0 {
		return hosts[0]
	}
	return s.opts.View.Self()
}

func randomKey() string { return strconv.FormatUint(rand.Uint64(), 36) }

func (s *Server) forward(ctx context.Context, home membership.Member, request homeRequest, emit func(api.Piece)) (*homeResult, error) {
	ctx, span := s.tracer.Start(ctx, "forward "+string(request.Op), trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("program", string(request.Program)), attribute.String("home", string(home.Name))))
	result, err := s.sendToHome(ctx, home, request, emit)
	tracing.End(span, err)
	return result, err
}

// sendToHome sends the request to its home and reads the response.
func (s *Server) sendToHome(ctx context.Context, home membership.Member, request homeRequest, emit func(api.Piece)) (*homeResult, error) {
	exchange, err := s.opts.Node.Open(ctx, home.PeerAddress, wire.TypeForwardCall, request)
	if err != nil {
		return nil, err
	}
	defer exchange.Close()
	for {
		frame, err := exchange.Next(ctx)
		if errors.Is(err, io.EOF) {
			return nil, fault.New(fault.CodeInternal, "forward", "the response ended without its last frame").WithPeer(string(home.Name)).WithOutcome(fault.OutcomeUnknown)
		}
		if err != nil {
			return nil, err
		}
		var result homeResult
		if err := frame.Decode(&result); err != nil {
			return nil, fault.New(fault.CodeInternal, "forward", "%v", err).WithPeer(string(home.Name)).WithOutcome(fault.OutcomeUnknown)
		}
		if frame.Last {
			return &result, nil
		}
		if result.Piece != nil && emit != nil {
			emit(*result.Piece)
		}
	}
}

// handleForwarded serves a request that another host forwarded. It fails with CodeMoved if this host is not the home.
func (s *Server) handleForwarded(ctx context.Context, r *wire.Request) {
	var request homeRequest
	if err := r.Decode(&request); err != nil {
		_ = r.Fail(fault.New(fault.CodeInvalidRequest, "decode request", "%v", err))
		return
	}
	if home, ferr := s.findHome(request); ferr != nil || home.Journal != s.opts.View.Self().Journal {
		_ = r.Fail(fault.New(fault.CodeMoved, "home", "this host is not the home of program %s", request.Program).WithPeer(string(s.opts.View.Self().Name)))
		return
	}
	// While this host hands its programs over, the request waits in doAtHome, which then forwards it to the successor.
	result, err := s.doAtHome(ctx, request, func(p api.Piece) { _ = r.SendPiece(homeResult{Piece: &p}) })
	if err != nil {
		_ = r.Fail(err)
		return
	}
	_ = r.Answer(result)
}

// doLocal executes the request at this host, which is the program's home.
func (s *Server) doLocal(ctx context.Context, request homeRequest, emit func(api.Piece)) (*homeResult, error) {
	h := s.opts.Home
	switch request.Op {
	case opOpen:
		id, err := h.Open(ctx, *request.Open)
		if err != nil {
			return nil, err
		}
		return &homeResult{Opened: &api.ProgramOpened{ID: id, Home: hostAddress(s.opts.View.Self())}}, nil
	case opCall:
		return s.doLocalCall(ctx, request, emit)
	case opEnd, opCancel:
		status, err := h.End(ctx, request.Program, request.Op == opCancel)
		return &homeResult{Status: status}, err
	}
	queries := map[op]program.Query{
		opOutcome: program.QueryCall, opStatus: program.QueryStatus, opHistory: program.QueryHistory,
	}
	query, ok := queries[request.Op]
	if !ok {
		return nil, fault.New(fault.CodeInvalidRequest, "home", "unknown operation %q", string(request.Op))
	}
	result, err := h.Read(ctx, query, request.Program, request.Key)
	if err != nil {
		return nil, err
	}
	return &homeResult{Answer: result.Answer, Status: result.Status, History: result.History}, nil
}

func (s *Server) doLocalCall(ctx context.Context, request homeRequest, emit func(api.Piece)) (*homeResult, error) {
	waiter := s.opts.Home.Call(ctx, request.Program, *request.Call)
	for {
		piece, reply, err := waiter.Next(ctx)
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
