package turns

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/common/wire"
	"github.com/hyssopreel/hyssopreel/core/turnlog"
)

const (
	// maxCopyInterval bounds the interval at which a host asks the others for turns that it should have and that were retained
	// elsewhere because it was slow or could not be reached.
	maxCopyInterval = 5 * time.Second
	// copyRetryDelay is the delay after a round in which a host could not be asked.
	copyRetryDelay = 500 * time.Millisecond
	// parallelFetches is the number of requests for turns that run at the same time, so that the link is used while others
	// wait for the disk.
	parallelFetches = 4
	// maxCopyBatchBytes and maxCopyBatchTurns bound the turns that are requested at once; the last one may exceed the bytes.
	maxCopyBatchBytes = 1 << 20
	maxCopyBatchTurns = 128
	// copyBurstBytes is what a host may copy or send at once after a pause.
	copyBurstBytes = 2 * maxCopyBatchBytes
	// fetchWindowTurns is the number of wanted turns among which those of the next request are chosen.
	fetchWindowTurns = 2048
	// copyMemoryFraction is the fraction of the memory for turns that are being written which copies may use at the same time.
	copyMemoryFraction = 0.5
	// relistDelay is the time after which the hosts are asked again while turns are copied.
	relistDelay = 250 * time.Millisecond
	// settleTime is the time for which a turn that another host has just retained is not copied, because it is probably on its way
	// to this host, too.
	settleTime = keepHedgeDelay
	// maxListedTurns bounds the turns in one part of a list, so that it fits into a frame.
	maxListedTurns = 4096
)

// copier copies the turns that this host should have from other hosts with a disk.
type copier struct {
	host  *Host
	again chan struct{}
	// wake is sent to when there may be something new to request.
	wake chan struct{}

	mu sync.Mutex
	// seen is how far the turns of each host have been looked at, by name. It counts for the list of hosts in seenHosts.
	seen      map[string]seenTurns
	seenHosts []turnlog.Host
	// copiedRevision is the revision of the list of hosts for which all copies have been made.
	copiedRevision uint64
	// wanted are the turns that are to be copied, and queue their IDs in the order in which they are requested.
	wanted map[string]*wantedTurn
	queue  []string
	sorted bool
	copied copyTotals
}

type copyTotals struct{ turns, bytes int64 }

type seenTurns struct {
	incarnation, disk string
	last              uint64
}

type wantedTurn struct {
	listedTurn
	since time.Time
	// order is the place in the queue. It differs from host to host, so that hosts which make the same copies can take them
	// from each other.
	order uint64
	// holders are the disks that have the turn.
	holders []holder
	// fetching is set while the turn is requested.
	fetching bool
}

// holder is a disk of which a host has said that it has a turn.
type holder struct{ address, disk string }

func newCopier(h *Host) copier {
	return copier{
		host: h, again: make(chan struct{}, 1), wake: make(chan struct{}, 1), seen: map[string]seenTurns{}, wanted: map[string]*wantedTurn{},
	}
}

// requestRound starts a round in which all turns are looked at.
func (c *copier) requestRound() {
	c.mu.Lock()
	c.seenHosts = nil
	c.mu.Unlock()
	notify(c.again)
}

// notify sends to a channel with a buffer of one, if that is empty.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
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
		if c.host.members.hasListed() {
			// Before other hosts can take the copies of this one for made.
			c.host.checkLosses(s, hosts)
		}
		switch {
		case !c.host.members.hasListed():
			delay = copyRetryDelay
		case !c.round(ctx, s, hosts, changed):
			delay = copyRetryDelay
		default:
			c.mu.Lock()
			c.copiedRevision = max(c.copiedRevision, revision)
			c.mu.Unlock()
			if !c.host.members.own().Refilling && s.copyState() == copiesMissing {
				s.setCopyState(copiesMade) // a new host
			}
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
// reports whether it has all of them. It ends early when changed is closed.
func (c *copier) round(ctx context.Context, s *shelf, hosts []turnlog.Host, changed <-chan struct{}) bool {
	c.mu.Lock()
	if !haveSameTargets(hosts, c.seenHosts) {
		// Turns that this host no longer should have are left out.
		c.seen, c.seenHosts = map[string]seenTurns{}, hosts
		c.wanted, c.queue = map[string]*wantedTurn{}, nil
	}
	c.mu.Unlock()
	startedAt, before := time.Now(), c.totals()
	complete := c.copyAll(ctx, s, hosts, changed)
	pending, _ := c.pending()
	if after := c.totals(); after != before {
		logging.Emit(logging.TurnsCopied, logging.Fields{
			"turns": after.turns - before.turns, "bytes": after.bytes - before.bytes, "ms": time.Since(startedAt).Milliseconds(), "pending": pending,
		})
	}
	return complete && pending == 0
}

// haveSameTargets reports whether turns should have the same copies by both lists.
func haveSameTargets(a, b []turnlog.Host) bool {
	return slices.EqualFunc(a, b, func(x, y turnlog.Host) bool {
		return x.Name == y.Name && x.State == y.State && x.FailureDomain == y.FailureDomain
	})
}

// fetches are the requests for turns that run in a round.
type fetches struct {
	copier  *copier
	group   *sync.WaitGroup
	running map[holder]int
	count   int
	// failed are the disks that are not asked again in this round.
	failed  map[holder]bool
	results chan fetchResult
}

type fetchResult struct {
	from holder
	err  error
}

// start starts as many requests as may run. unsettled is as for nextBatch.
func (f *fetches) start(ctx context.Context, s *shelf) (unsettled bool) {
	for f.count < parallelFetches {
		var from holder
		var batch []listedTurn
		from, batch, unsettled = f.copier.nextBatch(s, f.running, f.failed)
		if len(batch) == 0 {
			break
		}
		f.count++
		f.running[from]++
		f.group.Go(func() { f.results <- fetchResult{from, f.copier.fetch(ctx, s, from, batch)} })
	}
	return unsettled
}

func (f *fetches) finish(r fetchResult) {
	f.count--
	f.running[r.from]--
	if r.err != nil {
		f.failed[r.from] = true
		f.copier.reportFailure(r.from.address, r.err)
	}
}

// copyAll lists the turns and requests them at the same time, so that a host which does not answer delays no others. While
// turns are copied, the hosts are asked again for what they got meanwhile. It reports whether all hosts have answered.
func (c *copier) copyAll(ctx context.Context, s *shelf, hosts []turnlog.Host, changed <-chan struct{}) bool {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	f := &fetches{copier: c, group: &group, running: map[holder]int{}, failed: map[holder]bool{}, results: make(chan fetchResult, parallelFetches)}
	listed := make(chan bool, 1)
	list := func() { group.Go(func() { listed <- c.listAll(ctx, s, hosts) }) }
	list()
	isListing, allAnswered := true, false
	var relist <-chan time.Time
	for ctx.Err() == nil {
		unsettled := f.start(ctx, s)
		var settled <-chan time.Time
		if f.count == 0 && !isListing {
			if !unsettled {
				return allAnswered
			}
			relist, settled = nil, time.After(settleTime)
		}
		select {
		case r := <-f.results:
			f.finish(r)
		case allAnswered = <-listed:
			isListing, relist = false, time.After(relistDelay)
		case <-relist:
			isListing, relist = true, nil
			list()
		case <-settled:
		case <-c.wake:
		case <-changed:
			return false
		case <-ctx.Done():
		}
	}
	return false
}

// reportFailure logs that a host could not be asked for turns.
func (c *copier) reportFailure(peer string, err error) {
	turns, _ := c.pending()
	logging.Emit(logging.TurnCopyFailed, logging.Fields{"peer": peer, "pending": turns, "error": err})
}

// listAll asks all hosts for the turns that this one should have. It reports whether all have answered.
func (c *copier) listAll(ctx context.Context, s *shelf, hosts []turnlog.Host) bool {
	self := c.host.members.own()
	failures := atomic.Int64{}
	var group sync.WaitGroup
	for _, peer := range hosts {
		if peer.Name == self.Name || peer.State == turnlog.Lost || self.State != turnlog.Ready {
			continue
		}
		group.Go(func() {
			if err := c.list(ctx, s, peer, hosts); err != nil && ctx.Err() == nil {
				failures.Add(1)
				c.reportFailure(peer.Name, err)
			}
		})
	}
	group.Wait()
	return failures.Load() == 0 && ctx.Err() == nil
}

// list asks a host for the turns that this one should have.
func (c *copier) list(ctx context.Context, s *shelf, peer turnlog.Host, hosts []turnlog.Host) error {
	c.mu.Lock()
	seen := c.seen[peer.Name]
	c.mu.Unlock()
	self := c.host.members.own().Name
	request := listRequest{Host: self, Hosts: hosts, Copies: c.host.copies, Incarnation: seen.incarnation, After: seen.last, Retains: s.len() > 0}
	defer notify(c.wake)
	return callWithin(ctx, c.host.recovery.LostAfter, c.host.node, peer.PeerAddress, wire.TypeListTurns, request, func(piece listPiece) error {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !haveSameTargets(hosts, c.seenHosts) {
			return errors.Newf("the list of hosts has changed since host %s was asked", peer.Name)
		}
		for _, turn := range piece.Turns {
			if s.has(turn.ID) {
				continue
			}
			w := c.wanted[turn.ID]
			if w == nil {
				w = &wantedTurn{listedTurn: turn, since: time.Now(), order: xxhash.Sum64String(self + "\x00" + turn.ID)}
				c.wanted[turn.ID] = w
				c.queue, c.sorted = append(c.queue, turn.ID), false
			}
			if from := (holder{peer.PeerAddress, piece.DiskID}); !slices.Contains(w.holders, from) {
				w.holders = append(w.holders, from)
			}
		}
		if before := c.seen[peer.Name].disk; before != "" && before != piece.DiskID {
			c.dropReplaced(peer.PeerAddress, piece.DiskID)
		}
		if piece.Last > 0 || piece.Incarnation != "" {
			c.seen[peer.Name] = seenTurns{incarnation: piece.Incarnation, disk: piece.DiskID, last: piece.Last}
		}
		notify(c.wake)
		return nil
	})
}

// nextBatch returns wanted turns and a disk that has them, other than those in failed. Disks with fewer running requests come
// first. unsettled is set if there are turns to wait for before the end of the round.
func (c *copier) nextBatch(s *shelf, running map[holder]int, failed map[holder]bool) (from holder, batch []listedTurn, unsettled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.sorted {
		slices.SortFunc(c.queue, func(a, b string) int { return cmp.Compare(c.orderOf(a), c.orderOf(b)) })
		c.sorted = true
	}
	var window []*wantedTurn
	kept := c.queue[:0]
	for i, id := range c.queue {
		w := c.wanted[id]
		if w == nil || s.has(id) {
			delete(c.wanted, id)
			continue
		}
		kept = append(kept, id)
		if w.fetching {
			continue
		}
		if w.Unused < settleTime && time.Since(w.since) < settleTime {
			unsettled = true
			continue
		}
		available := false
		for _, p := range w.holders {
			available = available || !failed[p]
			if !failed[p] && (from == holder{} || running[p] < running[from]) {
				from = p
			}
		}
		if !available {
			continue
		}
		if window = append(window, w); len(window) == fetchWindowTurns {
			kept = append(kept, c.queue[i+1:]...)
			break
		}
	}
	c.queue = kept
	size := 0
	for _, w := range window {
		if !slices.Contains(w.holders, from) {
			continue
		}
		w.fetching = true
		batch = append(batch, w.listedTurn)
		if size += w.Bytes; size >= c.host.copyBatchBytes || len(batch) == maxCopyBatchTurns {
			break
		}
	}
	return from, batch, unsettled
}

// orderOf returns the place of a turn in the queue; c.mu is held.
func (c *copier) orderOf(id string) uint64 {
	if w := c.wanted[id]; w != nil {
		return w.order
	}
	return 0
}

// fetch copies turns from a host. Those that the host no longer has have expired, or are asked of the next one.
func (c *copier) fetch(ctx context.Context, s *shelf, from holder, batch []listedTurn) error {
	defer c.endFetch(batch)
	request, size := fetchRequest{}, 0
	for _, turn := range batch {
		request.Turns = append(request.Turns, turn.ID)
		size += turn.Bytes
	}
	if err := c.host.copyLimit.WaitN(ctx, min(size, copyBurstBytes)); err != nil {
		return err
	}
	var group sync.WaitGroup
	defer group.Wait()
	var mu sync.Mutex
	var failure error
	err := callWithin(ctx, c.host.recovery.LostAfter, c.host.node, from.address, wire.TypeFetchTurns, request, func(piece fetchPiece) error {
		if piece.DiskID != from.disk {
			return errors.Newf("host at %s has disk %s instead of %s", from.address, piece.DiskID, from.disk)
		}
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
		w := c.wanted[turn.ID]
		if w == nil {
			continue
		}
		w.holders = slices.DeleteFunc(w.holders, func(o holder) bool { return o == from })
		if len(w.holders) == 0 {
			delete(c.wanted, turn.ID) // expired on each disk that had it
		}
	}
	return nil
}

// dropReplaced removes what an earlier disk of a host had; c.mu is held.
func (c *copier) dropReplaced(address, disk string) {
	for id, w := range c.wanted {
		w.holders = slices.DeleteFunc(w.holders, func(o holder) bool { return o.address == address && o.disk != disk })
		if len(w.holders) == 0 {
			delete(c.wanted, id)
		}
	}
}

// endFetch marks turns as no longer requested.
func (c *copier) endFetch(batch []listedTurn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, turn := range batch {
		if w := c.wanted[turn.ID]; w != nil {
			w.fetching = false
		}
	}
}

func (c *copier) recordCopy(m turnlog.Meta) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.wanted, m.ID)
	c.copied.turns++
	c.copied.bytes += int64(m.Bytes)
}
