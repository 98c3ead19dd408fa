package turns

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/common/wire"
	"github.com/hyssopreel/hyssopreel/core/turnlog"
)

const (
	// keepHedgeDelay is the time after which another host is asked to retain a turn besides one that has not answered: a
	// sync takes 5 ms, and 35 ms on a slow disk.
	keepHedgeDelay = 150 * time.Millisecond
	// loadHedgeDelay is the time after which the next host is asked for a chain.
	loadHedgeDelay = 100 * time.Millisecond
	// loadTimeout bounds the requests for one chain, so that a caller gets 503 while it still has time for another host.
	loadTimeout = 2 * time.Second
	// probeInterval is how often hosts that failed or were full are asked whether they work again, and probeTimeout bounds
	// that. Until then they are asked last and count as ones that cannot retain turns, so that no turn is lost in trying them.
	probeInterval = 300 * time.Millisecond
	probeTimeout  = time.Second
	// minListInterval is the least time between two lists of the hosts; requests that wait meanwhile share the next one.
	minListInterval = 500 * time.Millisecond
	// touchInterval is how often the other hosts with a copy are told which turns were read.
	touchInterval = 500 * time.Millisecond
	// maxRecordBytes bounds a turn, so that it fits into a frame with room for the envelope.
	maxRecordBytes = wire.MaxFrameBytes - 64<<10
	// maxChainBytes bounds the turns that a caller may continue.
	maxChainBytes = 16 << 20
)

var (
	// ErrNotFound means that the turn is certainly not retained, or that it is another team's.
	ErrNotFound = errors.New("turn is not retained")
	// ErrUncertain means that it cannot be told now whether the turn is retained, or that it cannot be read.
	ErrUncertain = errors.New("turns cannot be read")
	// ErrUnavailable means that too few hosts can retain a turn.
	ErrUnavailable = errors.New("too few hosts can retain a turn")
	// ErrTooLarge means that the input of a turn is too large to be retained.
	ErrTooLarge = errors.New("input is too large to be retained")
	// ErrNoMemory means that the turns do not fit into the memory for bodies.
	ErrNoMemory = errors.New("no memory for the turns")
)

// Client retains and reads turns for an entry host. It is safe for concurrent use.
type Client struct {
	node          *wire.Node
	store         objectapi.Store
	copies        int
	failureDomain string
	region        string
	scope         tally.Scope
	hosts         *hostList

	mu sync.Mutex
	// failed holds the hosts that failed, were full or slow, by name, until they work again. It is true for those that can
	// retain no turns.
	failed  map[string]bool
	touches map[string][]string // turns by peer address

	// listedHosts is the last list for requests for turns that were not found, which was started at listStarted.
	listMu      sync.Mutex
	listStarted time.Time
	listedHosts []turnlog.Host
}

// NewClient returns a client of a host in the failure domain. store is the platform's; hostLosses is the number of hosts
// with a disk that may be lost at the same time.
func NewClient(node *wire.Node, store objectapi.Store, hostLosses int, failureDomain, region string, scope tally.Scope) *Client {
	return &Client{
		node: node, store: store, copies: hostLosses + 1, failureDomain: failureDomain, region: region, scope: scope,
		hosts: newHostList(), failed: map[string]bool{}, touches: map[string][]string{},
	}
}

// Replace replaces the list of hosts with a disk by the objects of KindDiskHosts.
func (c *Client) Replace(objects []objectapi.Object, _ bool) { c.hosts.replace(objects, 0) }

// Apply applies a change of an entry.
func (c *Client) Apply(change objectapi.Change) { c.hosts.apply(change) }

// Run probes hosts that failed, and tells hosts which turns were read at other ones, until ctx ends.
func (c *Client) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { c.probeFailed(ctx) })
	for ctx.Err() == nil {
		sleep(ctx, touchInterval)
		c.mu.Lock()
		touches := c.touches
		c.touches = map[string][]string{}
		c.mu.Unlock()
		for address, ids := range touches {
			sendCtx, cancel := context.WithTimeout(ctx, touchInterval)
			// A host that does not get this has the turn's retention from its last use there.
			_ = c.node.Send(sendCtx, address, wire.TypeTouchTurns, touchMessage{Turns: ids})
			cancel()
		}
	}
}

// CheckCapacity returns ErrTooLarge if the input cannot be retained, and ErrUnavailable if so few hosts can retain turns that the response to a new turn could not be
// completed.
func (c *Client) CheckCapacity(inputBytes int) error {
	if inputBytes > maxRecordBytes/2 {
		return errors.Wrapf(ErrTooLarge, "input of %d bytes", inputBytes)
	}
	hosts, _, _ := c.hosts.current()
	usable := 0
	for _, h := range turnlog.Accepting(hosts, c.copies) {
		if !c.hasFailed(h.Name) {
			usable++
		}
	}
	if usable < c.copies {
		return errors.Wrapf(ErrUnavailable, "%d of %d hosts, %d copies", usable, len(hosts), c.copies)
	}
	return nil
}

// MaxOutputBytes returns the size of the largest output of a turn with an input of that size.
func MaxOutputBytes(inputBytes int) int { return maxRecordBytes - inputBytes }

func (c *Client) recordFailure(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed[name] = true
}

// recordSlow records that a host has not answered in the usual time. It still counts as one that can retain turns.
func (c *Client) recordSlow(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.failed[name]; !known {
		c.failed[name] = false
	}
}

// hasFailed reports whether a host can retain no turns, and isAvoided whether it is asked last.
func (c *Client) hasFailed(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed[name]
}

func (c *Client) isAvoided(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, avoided := c.failed[name]
	return avoided
}

// probeFailed asks the hosts that failed whether they work again, until ctx ends.
func (c *Client) probeFailed(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, probeInterval)
		hosts, _, _ := c.hosts.current()
		c.mu.Lock()
		failed := slices.DeleteFunc(slices.Clone(hosts), func(h turnlog.Host) bool { _, avoided := c.failed[h.Name]; return !avoided })
		c.mu.Unlock()
		var group sync.WaitGroup
		for _, h := range failed {
			group.Go(func() {
				probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
				defer cancel()
				var answer statusAnswer
				if c.node.Call(probeCtx, h.PeerAddress, wire.TypeDiskStatus, statusRequest{}, &answer) == nil && answer.AcceptsTurns {
					c.mu.Lock()
					delete(c.failed, h.Name)
					c.mu.Unlock()
				}
			})
		}
		group.Wait()
	}
}

// workingFirst moves the hosts that failed or were slow to the end.
func (c *Client) workingFirst(hosts []turnlog.Host) []turnlog.Host {
	var working, failed []turnlog.Host
	for _, h := range hosts {
		if c.isAvoided(h.Name) {
			failed = append(failed, h)
		} else {
			working = append(working, h)
		}
	}
	return append(working, failed...)
}

// Keep retains a turn. It returns once it is synced on as many hosts as there must be copies. The anchor is set if the turn
// has none.
func (c *Client) Keep(ctx context.Context, r turnlog.Record) error {
	if r.Meta.Anchor == (turnlog.Anchor{}) {
		r.Meta.Anchor = c.newAnchor(r.Meta.Program, r.Meta.ID)
	}
	r.Seal()
	startedAt := time.Now()
	err := c.keep(ctx, r)
	result := "kept"
	if err != nil {
		result = "failed"
	}
	scope := c.scope.Tagged(map[string]string{"result": result})
	scope.Counter("retained_turns").Inc(1)
	scope.Timer("retain_turn_seconds").Record(time.Since(startedAt))
	return err
}

func (c *Client) newAnchor(program, turn string) turnlog.Anchor {
	a := turnlog.Anchor{Key: program, FailureDomain: c.failureDomain}
	if a.Key == "" {
		a.Key = turn
	}
	return a
}

func (c *Client) keep(ctx context.Context, r turnlog.Record) error {
	hosts, _, _ := c.hosts.current()
	candidates := c.workingFirst(turnlog.Candidates(hosts, r.Meta.Anchor, c.copies))
	if len(candidates) < c.copies {
		return errors.Wrapf(ErrUnavailable, "%d hosts, %d copies", len(candidates), c.copies)
	}
	type result struct {
		host, disk string
		err        error
	}
	results := make(chan result, len(candidates))
	waiting := map[string]bool{} // names of hosts that have not answered
	disks := map[string]bool{}   // IDs of those that have the turn
	next := 0
	launch := func() {
		h := candidates[next]
		next++
		waiting[h.Name] = true
		go func() {
			disk, err := c.keepAt(ctx, h, r)
			results <- result{h.Name, disk, err}
		}()
	}
	hedge := time.NewTimer(keepHedgeDelay)
	defer hedge.Stop()
	var failure error
	for len(disks) < c.copies {
		for len(disks)+len(waiting) < c.copies && next < len(candidates) {
			launch()
		}
		if len(waiting) == 0 && next == len(candidates) {
			return errors.Wrapf(ErrUnavailable, "%d of %d copies: %v", len(disks), c.copies, failure)
		}
		select {
		case answered := <-results:
			delete(waiting, answered.host)
			if answered.err == nil {
				disks[answered.disk] = true
				continue
			}
			failure = answered.err
			if errors.Is(failure, turnlog.ErrOtherTurn) {
				return failure
			}
		case <-hedge.C:
			// Those that have not answered are too slow for the next turns, too.
			for name := range waiting {
				c.recordSlow(name)
			}
			for missing := c.copies - len(disks); missing > 0 && next < len(candidates); missing-- {
				launch()
			}
			hedge.Reset(keepHedgeDelay)
		case <-ctx.Done():
			return errors.Wrapf(ErrUnavailable, "%d of %d copies in time: %v", len(disks), c.copies, failure)
		}
	}
	return nil
}

// keepAt retains a turn at one host, and returns the ID of its disk.
func (c *Client) keepAt(ctx context.Context, h turnlog.Host, r turnlog.Record) (disk string, err error) {
	var answer keepAnswer
	if err := c.node.Call(ctx, h.PeerAddress, wire.TypeKeepTurn, keepRequest{Record: r}, &answer); err != nil {
		if ctx.Err() == nil {
			c.recordFailure(h.Name)
		}
		return "", err
	}
	switch {
	case answer.Status == statusConflict:
		return "", errors.Wrapf(turnlog.ErrOtherTurn, "turn %q", r.Meta.ID)
	case answer.Status != statusDone || answer.NearlyFull:
		c.recordFailure(h.Name)
	}
	if answer.Status != statusDone {
		return "", errors.Newf("host %s retains no turns: %d", h.Name, answer.Status)
	}
	return answer.DiskID, nil
}

// touchOthers tells the other hosts that should have a copy of the turn that it was read.
func (c *Client) touchOthers(turn string, a turnlog.Anchor, readAt string) {
	hosts, _, _ := c.hosts.current()
	targets := turnlog.Targets(hosts, a, c.copies)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range targets {
		if h.Name != readAt {
			c.touches[h.PeerAddress] = append(c.touches[h.PeerAddress], turn)
		}
	}
}

// nearestFirst orders hosts by distance: those of this failure domain, then those of this region, then the others.
func (c *Client) nearestFirst(hosts []turnlog.Host) []turnlog.Host {
	distance := func(h turnlog.Host) int {
		switch {
		case h.FailureDomain == c.failureDomain:
			return 0
		case h.Region == c.region:
			return 1
		}
		return 2
	}
	sorted := slices.Clone(hosts)
	slices.SortStableFunc(sorted, func(a, b turnlog.Host) int { return distance(a) - distance(b) })
	return sorted
}
