package turns

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/wire"
	"github.com/hyssopreel/hyssopreel/core/turnlog"
)

// Chain holds the turns that a new one continues.
type Chain struct {
	// Prompt is, for each turn from the first one, its input and its output, and then the new input.
	Prompt []byte
	// Anchor is that of the next turn of the chain.
	Anchor turnlog.Anchor
	Turns  int
}

// Request asks for the turns that a new one continues.
type Request struct {
	// Turn is the ID of the last of them, and Team the team whose turn it must be.
	Turn, Team string
	// Program and Input are those of the new turn.
	Program string
	Input   []byte
	// Retention is the longest retention of any turn, by this host's configuration.
	Retention time.Duration
	// Reserve is called with the size of the turns that were read. If it returns false, Load returns ErrNoMemory.
	Reserve func(bytes int) bool
}

// Load returns the turns that a new one continues.
func (c *Client) Load(ctx context.Context, r Request) (Chain, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	startedAt := time.Now()
	chain, err := c.load(ctx, r)
	result := "found"
	switch {
	case errors.Is(err, ErrNotFound):
		result = "absent"
	case err != nil:
		result = "failed"
	}
	scope := c.scope.Tagged(map[string]string{"result": result})
	scope.Counter("loaded_chains").Inc(1)
	scope.Timer("load_chain_seconds").Record(time.Since(startedAt))
	return chain, err
}

func (c *Client) load(ctx context.Context, request Request) (Chain, error) {
	anchor := c.newAnchor(request.Program, request.Turn)
	var segments [][]turnlog.Record // the last ones first
	turns, size := 0, 0
	for missing := request.Turn; missing != ""; {
		segment, err := c.loadSegment(ctx, chainRequest{Turn: missing, Team: request.Team, Retention: request.Retention}, anchor, missing == request.Turn)
		if err != nil {
			return Chain{}, err
		}
		added := 0
		for _, r := range segment.Records {
			added += len(r.Input) + len(r.Output)
		}
		if size += added; size > maxChainBytes || !request.Reserve(added) {
			return Chain{}, errors.Wrapf(ErrNoMemory, "%d bytes of turns", size)
		}
		if len(segment.Records) == 0 {
			return Chain{}, errors.Wrapf(ErrUncertain, "no turns up to %q", missing)
		}
		turns += len(segment.Records)
		segments = append(segments, segment.Records)
		anchor, missing = segment.Anchor, segment.Missing
	}
	var prompt bytes.Buffer
	prompt.Grow(size + len(request.Input))
	for i := len(segments) - 1; i >= 0; i-- {
		for _, r := range segments[i] {
			prompt.Write(r.Input)
			prompt.Write(r.Output)
		}
	}
	prompt.Write(request.Input)
	return Chain{Prompt: prompt.Bytes(), Anchor: anchor, Turns: turns}, nil
}

// segmentResult is the answer of a host to a request for a chain.
type segmentResult struct {
	chainPiece
	host turnlog.Host
	err  error
}

// loadSegment reads the requested turns from the nearest host that has them. isFirst is set unless a later turn of the chain
// was found, so that this one must have been retained.
func (c *Client) loadSegment(ctx context.Context, request chainRequest, anchor turnlog.Anchor, isFirst bool) (chainPiece, error) {
	turn := request.Turn
	hosts, _, _ := c.hosts.current()
	targets := c.workingFirst(c.nearestFirst(turnlog.Targets(hosts, anchor, c.copies)))
	result, found := c.askInTurn(ctx, targets, request)
	if !found {
		probed, err := c.probeAll(ctx, request)
		if errors.Is(err, ErrNotFound) && !isFirst {
			err = errors.Wrapf(ErrUncertain, "turn %q of the chain is not retained", turn)
		}
		if err != nil {
			return chainPiece{}, err
		}
		if result, found = c.askInTurn(ctx, c.nearestFirst(probed), request); !found {
			return chainPiece{}, errors.Wrapf(ErrUncertain, "read turn %q at %d hosts: %v", turn, len(probed), result.err)
		}
	}
	if result.Status == statusOtherTeam {
		return chainPiece{}, errors.Wrapf(ErrNotFound, "turn %q is another team's", turn)
	}
	c.touchOthers(turn, result.Anchor, result.host.Name)
	return result.chainPiece, nil
}

// askInTurn requests a chain from the hosts one after the other, and from the next one if a host does not answer for a
// while. It returns the first answer of a host that has the turn.
func (c *Client) askInTurn(ctx context.Context, hosts []turnlog.Host, request chainRequest) (segmentResult, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan segmentResult, len(hosts))
	next, running := 0, 0
	// progress is when the last part of an answer arrived.
	var progress atomic.Int64
	launch := func() {
		h := hosts[next]
		next++
		running++
		go func() { results <- c.ask(ctx, h, request, func() { progress.Store(int64(sinceBoot())) }) }()
	}
	var last segmentResult
	hedge := time.NewTicker(loadHedgeDelay)
	defer hedge.Stop()
	for {
		if running == 0 {
			if next == len(hosts) || ctx.Err() != nil {
				return last, false
			}
			launch()
		}
		select {
		case last = <-results:
			running--
			if last.err == nil && (last.Status == statusDone || last.Status == statusOtherTeam) {
				return last, true
			}
		case <-hedge.C:
			// A long chain that arrives steadily is not read twice.
			if next < len(hosts) && sinceBoot()-time.Duration(progress.Load()) > loadHedgeDelay {
				launch()
			}
		case <-ctx.Done():
			last.err = ctx.Err()
			return last, false
		}
	}
}

// ask requests a chain from one host, and calls onPart for each part of the answer.
func (c *Client) ask(ctx context.Context, h turnlog.Host, request chainRequest, onPart func()) segmentResult {
	result := segmentResult{host: h}
	size := 0
	err := call(ctx, c.node, h.PeerAddress, wire.TypeLoadChain, request, func(piece chainPiece) error {
		onPart()
		for _, r := range piece.Records {
			if !r.IsIntact() {
				return errors.Newf("turn %q is not what was retained", r.Meta.ID)
			}
			size += r.Meta.Bytes
		}
		if size > maxChainBytes {
			return errors.Wrapf(ErrNoMemory, "over %d bytes of turns", maxChainBytes)
		}
		records := append(result.Records, piece.Records...)
		result.chainPiece = piece
		result.Records = records
		return nil
	})
	if err != nil {
		if ctx.Err() == nil {
			c.recordFailure(h.Name)
		}
		result.err = errors.Wrapf(err, "ask host %s", h.Name)
	}
	return result
}

// probeAll asks all hosts whether they have a turn, and returns those that do. ErrNotFound means that none does: each host
// of a list that was read after the call has said so, and has all copies that it should have.
func (c *Client) probeAll(ctx context.Context, request chainRequest) ([]turnlog.Host, error) {
	turn := request.Turn
	request.Probe = true
	hosts, err := c.listHosts(ctx)
	if err != nil {
		return nil, err
	}
	if len(hosts) == 0 {
		return nil, errors.Wrap(ErrUncertain, "no host with a disk is listed")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan segmentResult, len(hosts))
	for _, h := range hosts {
		go func() { results <- c.ask(ctx, h, request, func() {}) }()
	}
	var found []turnlog.Host
	var uncertain error
	for range hosts {
		select {
		case result := <-results:
			switch {
			case result.err != nil:
				uncertain = result.err
			case result.Host != result.host.Name:
				uncertain = errors.Newf("at the address of host %s is host %s", result.host.Name, result.Host)
			case result.Status == statusDone:
				found = append(found, result.host)
			case result.Status == statusOtherTeam:
				return nil, errors.Wrapf(ErrNotFound, "turn %q is another team's", turn)
			case result.Status != statusAbsent:
				uncertain = errors.Newf("host %s does not have all of its turns yet", result.host.Name)
			}
		case <-ctx.Done():
			return nil, errors.Wrapf(ErrUncertain, "turn %q: %v", turn, ctx.Err())
		}
		if len(found) > 0 {
			return found, nil
		}
	}
	if uncertain != nil {
		return nil, errors.Wrapf(ErrUncertain, "turn %q: %v", turn, uncertain)
	}
	return nil, errors.Wrapf(ErrNotFound, "turn %q: none of %d hosts has it", turn, len(hosts))
}

// listHosts reads the list of hosts from the store after the call began: the list that this host follows may lack one that
// was added a moment ago. Calls at the same time share one list.
func (c *Client) listHosts(ctx context.Context) ([]turnlog.Host, error) {
	calledAt := time.Now()
	c.listMu.Lock()
	defer c.listMu.Unlock()
	if c.listStarted.After(calledAt) {
		return c.listedHosts, nil
	}
	if wait := minListInterval - time.Since(c.listStarted); wait > 0 {
		sleep(ctx, wait)
	}
	startedAt := time.Now()
	objects, _, err := c.store.List(ctx, KindDiskHosts, "")
	if err != nil {
		return nil, errors.Wrapf(ErrUncertain, "list the hosts with a disk: %v", err)
	}
	hosts := make([]turnlog.Host, 0, len(objects))
	for _, o := range objects {
		h, err := decodeHost(o)
		if err != nil {
			return nil, errors.Wrapf(ErrUncertain, "%v", err)
		}
		hosts = append(hosts, h)
	}
	c.listStarted, c.listedHosts = startedAt, hosts
	return hosts, nil
}
