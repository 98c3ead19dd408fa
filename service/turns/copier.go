package turns

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/common/wire"
	"github.com/hyssopreel/hyssopreel/core/turnlog"
)

const (
	// copyInterval is how often a host asks the others for turns that it should have and that were retained elsewhere
	// because it was slow or could not be reached.
	copyInterval = 5 * time.Second
	// copyRetryDelay is the delay after a round in which a host could not be asked.
	copyRetryDelay = 500 * time.Millisecond
	// copyBytesPerSecond bounds the copies that one host makes: a lost disk of 40 MB is replaced within 5 s, and a host of
	// 100 Mbit/s still serves callers.
	copyBytesPerSecond = 8 << 20
	// maxCopyBatchBytes and maxCopyBatchTurns bound the turns that are requested at once.
	maxCopyBatchBytes = 2 << 20
	maxCopyBatchTurns = 128
	// maxListedTurns bounds the turns in one part of a list, so that it fits into a frame.
	maxListedTurns = 4096
	// listTimeout and fetchTimeout bound one request.
	listTimeout  = 3 * time.Second
	fetchTimeout = 3 * time.Second
)

// copier copies the turns that this host should have from other hosts with a disk.
type copier struct {
	host  *Host
	again chan struct{}

	mu sync.Mutex
	// seen is how far the turns of each host have been looked at, by name. It counts for the list of hosts in seenHosts.
	seen      map[string]seenTurns
	seenHosts []turnlog.Host
	// copiedRevision is the revision of the list of hosts for which all copies have been made.
	copiedRevision uint64
	// wanted are the turns that are to be copied.
	wanted map[string]wantedTurn
	copied copyTotals
}

type copyTotals struct{ turns, bytes int64 }

type seenTurns struct {
	incarnation string
	last        uint64
}

type wantedTurn struct {
	listedTurn
	since time.Time
	// peers are the addresses of the hosts that have the turn.
	peers []string
}

func newCopier(h *Host) copier {
	return copier{host: h, again: make(chan struct{}, 1), seen: map[string]seenTurns{}, wanted: map[string]wantedTurn{}}
}

// requestRound starts a round in which all turns are looked at.
func (c *copier) requestRound() {
	c.mu.Lock()
	c.seenHosts = nil
	c.mu.Unlock()
	select {
	case c.again <- struct{}{}:
	default:
	}
}

func (c *copier) revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.copiedRevision
}

// pending returns the number of turns that are to be copied, and for how long the first of them has been.
func (c *copier) pending() (turns int, oldest time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.wanted {
		oldest = max(oldest, time.Since(w.since))
	}
	return len(c.wanted), oldest
}

func (c *copier) totals() copyTotals {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.copied
}

// run makes copies until ctx ends. A round starts when the list of hosts changes and at intervals.
func (c *copier) run(ctx context.Context, s *shelf) {
	for ctx.Err() == nil {
		hosts, revision, changed := c.host.members.current()
		delay := c.host.copyInterval
		switch {
		case !c.host.members.hasListed():
			delay = copyRetryDelay
		case !c.round(ctx, s, hosts):
			delay = copyRetryDelay
		default:
			c.mu.Lock()
			c.copiedRevision = max(c.copiedRevision, revision)
			c.mu.Unlock()
			c.host.complete.Store(true)
		}
		select {
		case <-time.After(delay):
		case <-changed:
		case <-c.again:
		case <-ctx.Done():
		}
	}
}

// round asks all hosts for the turns of which this one should have copies, and copies those that it does not have. It
// reports whether it has all of them.
func (c *copier) round(ctx context.Context, s *shelf, hosts []turnlog.Host) bool {
	c.mu.Lock()
	if !slices.EqualFunc(hosts, c.seenHosts, func(a, b turnlog.Host) bool {
		return a.Name == b.Name && a.State == b.State && a.FailureDomain == b.FailureDomain
	}) {
		c.seen, c.seenHosts = map[string]seenTurns{}, hosts
	}
	c.mu.Unlock()
	self := c.host.members.own()
	complete := true
	for _, peer := range hosts {
		if peer.Name == self.Name || peer.State == turnlog.Lost || self.State != turnlog.Ready {
			continue
		}
		if err := c.list(ctx, s, peer, hosts); err != nil {
			complete = false
			turns, _ := c.pending()
			logging.Emit(logging.TurnCopyFailed, logging.Fields{"peer": peer.Name, "pending": turns, "error": err})
		}
	}
	return c.fetchAll(ctx, s) && complete
}

// list asks a host for the turns that this one should have.
func (c *copier) list(ctx context.Context, s *shelf, peer turnlog.Host, hosts []turnlog.Host) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	c.mu.Lock()
	seen := c.seen[peer.Name]
	c.mu.Unlock()
	request := listRequest{Host: c.host.members.own().Name, Hosts: hosts, Copies: c.host.copies, Incarnation: seen.incarnation, After: seen.last, Retains: s.len() > 0}
	return call(ctx, c.host.node, peer.PeerAddress, wire.TypeListTurns, request, func(piece listPiece) error {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, turn := range piece.Turns {
			if s.has(turn.ID) {
				continue
			}
			w, ok := c.wanted[turn.ID]
			if !ok {
				w = wantedTurn{listedTurn: turn, since: time.Now()}
			}
			if !slices.Contains(w.peers, peer.PeerAddress) {
				w.peers = append(w.peers, peer.PeerAddress)
			}
			c.wanted[turn.ID] = w
		}
		if piece.Last > 0 || piece.Incarnation != "" {
			c.seen[peer.Name] = seenTurns{incarnation: piece.Incarnation, last: piece.Last}
		}
		return nil
	})
}

// fetchAll copies the wanted turns. It reports whether it has all of them.
func (c *copier) fetchAll(ctx context.Context, s *shelf) bool {
	startedAt, before := time.Now(), c.totals()
	failed := map[string]bool{}
	for ctx.Err() == nil {
		peer, batch := c.nextBatch(s, failed)
		if len(batch) == 0 {
			break
		}
		if err := c.fetch(ctx, s, peer, batch); err != nil {
			failed[peer] = true
			turns, _ := c.pending()
			logging.Emit(logging.TurnCopyFailed, logging.Fields{"peer": peer, "pending": turns, "error": err})
		}
	}
	pending, _ := c.pending()
	if after := c.totals(); after != before {
		logging.Emit(logging.TurnsCopied, logging.Fields{
			"turns": after.turns - before.turns, "bytes": after.bytes - before.bytes, "ms": time.Since(startedAt).Milliseconds(), "pending": pending,
		})
	}
	return pending == 0
}

// nextBatch returns wanted turns and the address of a host that has them, other than those in failed. The turns that have
// been used last come first, because they are needed soonest.
func (c *copier) nextBatch(s *shelf, failed map[string]bool) (peer string, batch []listedTurn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var wanted []wantedTurn
	for id, w := range c.wanted {
		if s.has(id) {
			delete(c.wanted, id)
			continue
		}
		wanted = append(wanted, w)
	}
	slices.SortFunc(wanted, func(a, b wantedTurn) int { return int(a.Unused - b.Unused) })
	size := 0
	for _, w := range wanted {
		i := slices.IndexFunc(w.peers, func(p string) bool { return !failed[p] })
		if i < 0 || peer != "" && !slices.Contains(w.peers, peer) {
			continue
		}
		if peer == "" {
			peer = w.peers[i]
		}
		batch = append(batch, w.listedTurn)
		if size += w.Bytes; size >= maxCopyBatchBytes/2 || len(batch) == maxCopyBatchTurns {
			break
		}
	}
	return peer, batch
}

// fetch copies turns from a host. Those that the host no longer has have expired, or are asked of the next one.
func (c *copier) fetch(ctx context.Context, s *shelf, peer string, batch []listedTurn) error {
	request, size := fetchRequest{}, 0
	for _, turn := range batch {
		request.Turns = append(request.Turns, turn.ID)
		size += turn.Bytes
	}
	if err := c.host.copyLimit.WaitN(ctx, min(size, maxCopyBatchBytes)); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var group sync.WaitGroup
	defer group.Wait()
	var mu sync.Mutex
	var failure error
	err := call(ctx, c.host.node, peer, wire.TypeFetchTurns, request, func(piece fetchPiece) error {
		for i, record := range piece.Records {
			if !record.IsIntact() || i >= len(piece.Unused) {
				return errors.Newf("copy of turn %q is damaged", record.Meta.ID)
			}
			// The writes are synced together.
			group.Go(func() {
				result, err := s.keep(record, piece.Unused[i], true)
				if err == nil && result != statusDone {
					err = errors.Newf("copy of turn %q is refused: %d", record.Meta.ID, result)
				}
				mu.Lock()
				failure = errors.CombineErrors(failure, err)
				mu.Unlock()
				if err == nil {
					c.recordCopy(record.Meta)
				}
			})
		}
		return nil
	})
	group.Wait()
	if err := errors.CombineErrors(err, failure); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, turn := range batch {
		w, ok := c.wanted[turn.ID]
		if !ok {
			continue
		}
		w.peers = slices.DeleteFunc(w.peers, func(p string) bool { return p == peer })
		c.wanted[turn.ID] = w
		if len(w.peers) == 0 {
			delete(c.wanted, turn.ID) // expired everywhere
		}
	}
	return nil
}

func (c *copier) recordCopy(m turnlog.Meta) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.wanted, m.ID)
	c.copied.turns++
	c.copied.bytes += int64(m.Bytes)
}

// serveList answers a host that asks for the turns of which it should have copies.
func (h *Host) serveList(_ context.Context, r *wire.Request, s *shelf) error {
	var request listRequest
	if err := r.Decode(&request); err != nil {
		return err
	}
	if request.Retains {
		h.recordRequest()
	}
	incarnation := h.members.incarnation()
	after := request.After
	if request.Incarnation != incarnation {
		after = 0
	}
	turns, last := s.listFor(request, after)
	for len(turns) > maxListedTurns {
		if err := r.SendPiece(listPiece{Turns: turns[:maxListedTurns]}); err != nil {
			return err
		}
		turns = turns[maxListedTurns:]
	}
	return r.Answer(listPiece{Incarnation: incarnation, Last: last, Turns: turns})
}

// serveFetch sends turns to a host that makes copies of them. It leaves out those that it does not have.
func (h *Host) serveFetch(ctx context.Context, r *wire.Request, s *shelf) error {
	var request fetchRequest
	if err := r.Decode(&request); err != nil {
		return err
	}
	release, err := h.answerBytes.acquire(ctx, 2*maxPieceBytes)
	if err != nil {
		return err
	}
	defer release()
	var piece fetchPiece
	size := 0
	now := sinceBoot()
	for _, e := range s.lookUp(request.Turns) {
		record, err := s.read(e)
		if errors.Is(err, turnlog.ErrCorrupt) {
			h.copier.requestRound()
			continue
		}
		if err != nil {
			return err
		}
		piece.Records, piece.Unused = append(piece.Records, record), append(piece.Unused, e.Unused(now))
		if size += e.Bytes; size >= maxPieceBytes {
			if err := r.SendPiece(piece); err != nil {
				return err
			}
			piece, size = fetchPiece{}, 0
		}
	}
	return r.Answer(piece)
}

// call sends a request and passes the parts of the answer to handle.
func call[T any](ctx context.Context, node *wire.Node, address string, t wire.Type, request any, handle func(T) error) error {
	x, err := node.Open(ctx, address, t, request)
	if err != nil {
		return err
	}
	defer x.Close()
	for {
		piece, err := x.Next(ctx)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		var part T
		if err := piece.Decode(&part); err != nil {
			return errors.Wrapf(err, "decode answer of %s", address)
		}
		if err := handle(part); err != nil {
			return err
		}
	}
}
