package ingress

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/common/wire"
	"github.com/hyssopreel/hyssopreel/core/fleet"
)

const (
	// maxObjectsPerPart bounds the objects in one part of an answer, so that it fits into a frame.
	maxObjectsPerPart = 500
	// maxFullAnswers is the number of hosts that get all objects of a kind at the same time.
	maxFullAnswers = 3
	// followTimeout bounds the time for an answer, in addition to the wait for a change.
	followTimeout = time.Second
)

// followPeer requests the changes of a peer's copy and passes the parts of the answer to handle.
func (h *Host) followPeer(ctx context.Context, address string, request followRequest, handle func(followAnswer)) error {
	timeout := followTimeout
	if request.Epoch != "" {
		timeout += request.MaxWait
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	x, err := h.node.Open(ctx, address, wire.TypeFollow, request)
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
		var part followAnswer
		if err := piece.Decode(&part); err != nil {
			return errors.Wrapf(err, "decode answer of peer %s", address)
		}
		handle(part)
	}
}

// serveFollow answers a host that follows this one with the changes of a kind, as soon as there are some.
func (h *Host) serveFollow(ctx context.Context, r *wire.Request) {
	var request followRequest
	if err := r.Decode(&request); err != nil {
		_ = r.Fail(err) // fails only if the follower is gone
		return
	}
	informer, ok := h.heartbeats.informers[request.Kind]
	if !ok || !informer.HasSynced() || request.Epoch != "" && !h.hosts.IsWatcher() {
		_ = r.Answer(followAnswer{NotReady: true})
		return
	}
	if position, ok := informer.feed.inSync(request.Digest); ok && request.Epoch == "" {
		h.sendChanges(ctx, r, informer, position)
		return
	}
	timer := time.NewTimer(min(request.MaxWait, maxFollowWait))
	defer timer.Stop()
	for {
		changes, changed := informer.feed.since(request.Epoch, request.After)
		if !changes.isEmpty() {
			h.sendChanges(ctx, r, informer, changes)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			h.sendChanges(ctx, r, informer, changes)
			return
		case <-ctx.Done():
			return
		}
	}
}

// sendChanges sends the changes in parts. It stops when the follower is gone. Few hosts get all objects at the same time,
// because each answer takes memory for its encoding.
func (h *Host) sendChanges(ctx context.Context, r *wire.Request, f *Informer, c feedChanges) {
	if c.full {
		select {
		case h.fullAnswers <- struct{}{}:
			defer func() { <-h.fullAnswers }()
		case <-ctx.Done():
			return
		}
	}
	answer := followAnswer{
		Epoch: c.epoch, Sequence: c.sequence, Full: c.full, Deleted: c.deleted,
		ListRevision: f.lastListRevision(), NewestRevision: f.NewestRevision(),
	}
	if recoveredAt, ok := f.recovery(); ok {
		answer.AfterOutage, answer.SinceOutage = true, time.Since(recoveredAt)
	}
	for len(c.objects) > maxObjectsPerPart {
		part := answer
		part.Objects, c.objects = c.objects[:maxObjectsPerPart], c.objects[maxObjectsPerPart:]
		if r.SendPiece(part) != nil {
			return
		}
	}
	answer.Objects = c.objects
	_ = r.Answer(answer)
}

// informerSources returns the peers whose copies the informers follow; none if this host watches the store. A host
// that has just started does not know its role and asks the seeds.
func (h *Host) informerSources() []string {
	isFirstStart := h.isFirstStart()
	if isFirstStart && h.isSeed() {
		return nil
	}
	if !h.heartbeats.informers[KindHosts].HasSynced() || isFirstStart {
		return h.heartbeats.otherSeeds()
	}
	if h.hosts.IsWatcher() {
		return nil
	}
	var out []string
	for _, followed := range h.hosts.Followed() {
		if len(out) == maxFollowSources {
			break
		}
		out = append(out, followed.PeerAddress)
	}
	return out
}

const (
	// maxFollowSources is the number of hosts that are tried before the store.
	maxFollowSources = 3
	// firstStartPatience is how long a host of a fleet that starts for the first time waits for the seeds: all hosts
	// start within 0.3 s of each other.
	firstStartPatience = 1500 * time.Millisecond
	// restartPatience is how long a host that starts later waits for seeds that start too.
	restartPatience = 200 * time.Millisecond
	// firstListWait is how long a host of such a fleet is listed before it relies on the list for the roles, and
	// maxFirstStart bounds that time: hosts are listed once there is a configuration.
	firstListWait = 1500 * time.Millisecond
	maxFirstStart = 30 * time.Second
)

func (h *Host) startupPatience() time.Duration {
	if h.settings.Load().Host.FirstStart {
		return firstStartPatience
	}
	return restartPatience
}

// isFirstStart reports whether the whole deployment starts for the first time, so that most hosts are not listed yet.
func (h *Host) isFirstStart() bool {
	return h.settings.Load().Host.FirstStart && time.Since(h.startedAt) < maxFirstStart && h.hosts.SelfListedFor() < firstListWait
}

// isSeed reports whether this host is one of the seeds in its settings.
func (h *Host) isSeed() bool {
	return len(h.heartbeats.otherSeeds()) < len(h.settings.Load().Seeds.Peers)
}

// publishDraining tells the followers that a host is draining, before the deletion of its entry reaches the store.
func (h *Host) publishDraining(draining fleet.Host) {
	o, err := encodeHost(draining)
	if err != nil {
		logging.Emit(logging.HostRejected, logging.Fields{"host": draining.Name, "error": err})
		return
	}
	h.heartbeats.informers[KindHosts].feed.publish(o)
}
