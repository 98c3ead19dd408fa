package turns

import (
	"context"
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/common/wire"
	"github.com/hyssopreel/hyssopreel/core/turnlog"
)

const (
	// pingsBeforeLost is how often a host asks the next ones whether they work in the time after which they count as lost.
	pingsBeforeLost = 4
	maxPingInterval = time.Second
	// pingedHosts is the number of hosts that each one asks: those that follow it in the order of names.
	pingedHosts = 3
)

func sinceBoot() time.Duration { return clock.SinceBoot() }

// watchPeers marks hosts that do not answer as lost, and removes the entries of lost ones once their copies have been made
// again, until ctx ends.
func (h *Host) watchPeers(ctx context.Context) {
	answeredAt, lostSince := map[string]time.Duration{}, lostHosts{}
	for ctx.Err() == nil {
		interval := h.pingInterval()
		if !h.isActive() {
			interval = maxPingInterval
		}
		sleep(ctx, interval)
		hosts, _, _ := h.members.current()
		self := h.members.own()
		isLost := h.isActive() && h.members.isMarkedLost()
		if isLost {
			h.returnToList(ctx, hosts, self)
		}
		if !h.isActive() || self.State != turnlog.Ready || isLost {
			clear(answeredAt)
			continue
		}
		answers := h.ping(ctx, successors(hosts, self.Name, pingedHosts))
		now := sinceBoot()
		for name, answer := range answers {
			if answer != nil {
				answeredAt[name] = now
				h.members.observe(answer.Newest)
			}
		}
		for name, answer := range answers {
			if _, known := answeredAt[name]; !known {
				answeredAt[name] = now // asked for the first time
			}
			// A host to which no other answers is cut off itself.
			if silent := now - answeredAt[name]; answer == nil && silent > h.recovery.LostAfter && slices.ContainsFunc(hosts, func(o turnlog.Host) bool { return answers[o.Name] != nil }) {
				h.markLost(ctx, name, silent)
			}
		}
		for name := range answeredAt {
			if _, asked := answers[name]; !asked {
				delete(answeredAt, name)
			}
		}
		h.removeLost(ctx, hosts, self, lostSince)
		if s := h.shelf.Load(); s != nil {
			h.finishRefill(ctx, s, hosts)
		}
	}
}

// returnToList writes this host's entry again after others have marked it as lost, if it reaches half of the hosts that work.
// Otherwise it would be marked again and again, and its copies would never be made. The half does not count this host, so
// that of two equal halves that do not reach each other both return.
func (h *Host) returnToList(ctx context.Context, hosts []turnlog.Host, self turnlog.Host) {
	others := slices.DeleteFunc(slices.Clone(hosts), func(o turnlog.Host) bool { return o.Name == self.Name })
	answers := h.ping(ctx, others)
	reached, working := 0, 0
	for _, o := range others {
		answered := answers[o.Name] != nil
		if answered {
			reached++
		}
		if answered || o.State != turnlog.Lost {
			working++
		}
	}
	if 2*reached >= working-1 {
		h.members.register(ctx)
	}
}

// pingInterval returns the time between two questions, and the time in which a host must answer.
func (h *Host) pingInterval() time.Duration {
	return min(maxPingInterval, h.recovery.LostAfter/pingsBeforeLost)
}

// successors returns the n hosts after name in the order of names, without lost ones.
func successors(hosts []turnlog.Host, name string, n int) []turnlog.Host {
	start := slices.IndexFunc(hosts, func(h turnlog.Host) bool { return h.Name == name })
	var out []turnlog.Host
	for i := 1; i < len(hosts) && len(out) < n; i++ {
		if next := hosts[(start+i+len(hosts))%len(hosts)]; next.State != turnlog.Lost && next.Name != name {
			out = append(out, next)
		}
	}
	return out
}

// ping asks hosts for their status at the same time. Those that do not answer have nil.
func (h *Host) ping(ctx context.Context, hosts []turnlog.Host) map[string]*statusAnswer {
	ctx, cancel := context.WithTimeout(ctx, h.pingInterval())
	defer cancel()
	_, newest, _ := h.members.current()
	request := statusRequest{Newest: newest}
	if s := h.shelf.Load(); s != nil {
		request.Retains = s.len() > 0
	}
	type result struct {
		name   string
		answer *statusAnswer
	}
	results := make(chan result, len(hosts))
	for _, peer := range hosts {
		go func() {
			var answer statusAnswer
			if h.node.Call(ctx, peer.PeerAddress, wire.TypeDiskStatus, request, &answer) != nil || answer.Host != peer.Name {
				results <- result{peer.Name, nil}
				return
			}
			results <- result{peer.Name, &answer}
		}()
	}
	out := map[string]*statusAnswer{}
	for range hosts {
		r := <-results
		out[r.name] = r.answer
	}
	return out
}

// markLost changes the state in the entry of a host that does not answer.
func (h *Host) markLost(ctx context.Context, name string, silent time.Duration) {
	entry, version, _ := h.members.entry(name)
	if version == 0 || entry.State == turnlog.Lost {
		return
	}
	entry.State = turnlog.Lost
	value, err := json.Marshal(entry)
	if err != nil {
		return
	}
	if _, err := h.store.Update(ctx, KindDiskHosts, name, value, version); err != nil {
		logging.Emit(logging.DiskHostNotWritten, logging.Fields{"host": name, "error": err})
		return
	}
	logging.Emit(logging.DiskHostLost, logging.Fields{"host": name, "silent_ms": silent.Milliseconds()})
}

// lostHosts knows since when hosts have been lost.
type lostHosts map[string]lostHost

type lostHost struct {
	incarnation string
	since       time.Duration // since boot
}

// update takes a list of hosts into account, and returns those that are lost.
func (l lostHosts) update(hosts []turnlog.Host) (lost []turnlog.Host) {
	for name, known := range l {
		if !slices.ContainsFunc(hosts, func(o turnlog.Host) bool {
			return o.Name == name && o.Incarnation == known.incarnation && o.State == turnlog.Lost
		}) {
			delete(l, name)
		}
	}
	for _, o := range hosts {
		if o.State != turnlog.Lost {
			continue
		}
		lost = append(lost, o)
		if _, known := l[o.Name]; !known {
			l[o.Name] = lostHost{o.Incarnation, sinceBoot()}
		}
	}
	return lost
}

// removeLost deletes the entries of lost hosts once all others have made their copies. If more hosts are lost, or have lost
// their disks, than may be lost at the same time, turns may be on the former only, and the entries stay until these turns
// would have expired. The first ready host by name does this.
func (h *Host) removeLost(ctx context.Context, hosts []turnlog.Host, self turnlog.Host, since lostHosts) {
	lost := since.update(hosts)
	if !turnlog.CountLosses(hosts).LeavesACopy(h.copies - 1) {
		retained, known := h.shelf.Load().retentionBound()
		lost = slices.DeleteFunc(lost, func(o turnlog.Host) bool { return !known || sinceBoot()-since[o.Name].since <= retained })
	}
	ready := slices.DeleteFunc(slices.Clone(hosts), func(o turnlog.Host) bool { return o.State != turnlog.Ready })
	if len(lost) == 0 || len(ready) == 0 || ready[0].Name != self.Name {
		return
	}
	copied, ok := h.copiedRevision(ctx, ready)
	for _, o := range lost {
		if _, version, _ := h.members.entry(o.Name); ok && version > 0 && copied >= uint64(version) {
			if err := h.store.Delete(ctx, KindDiskHosts, o.Name, version); err != nil {
				logging.Emit(logging.DiskHostNotWritten, logging.Fields{"host": o.Name, "error": err})
			}
		}
	}
}

// copiedRevision returns the revision of the list for which all of the hosts have made their copies. ok is false if one
// does not answer.
func (h *Host) copiedRevision(ctx context.Context, hosts []turnlog.Host) (revision uint64, ok bool) {
	revision = math.MaxUint64
	for _, answer := range h.ping(ctx, hosts) {
		if answer == nil {
			return 0, false
		}
		revision = min(revision, answer.CopiedRevision)
	}
	return revision, len(hosts) > 0
}

func (h *Host) serveStatus(_ context.Context, r *wire.Request, s *shelf) error {
	var request statusRequest
	if err := r.Decode(&request); err != nil {
		return err
	}
	if request.Retains {
		h.recordRequest()
	}
	h.members.observe(request.Newest)
	_, newest, _ := h.members.current()
	self := h.members.own()
	return r.Answer(statusAnswer{Host: self.Name, Incarnation: self.Incarnation, DiskID: self.DiskID, CopiedRevision: h.copier.revision(), Newest: newest, AcceptsTurns: s.acceptsTurns()})
}

// Retire returns once the host may be removed: each of its turns has its copies at other hosts. It accepts no more turns
// from now on.
func (h *Host) Retire(ctx context.Context) error {
	h.retireMu.Lock()
	defer h.retireMu.Unlock()
	for h.shelf.Load() == nil {
		if h.settings.Disk.Path == "" || h.settings.Listen.Peer == "" {
			return nil
		}
		sleep(ctx, idleCheckInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	s := h.shelf.Load()
	isRefilling := h.members.own().Refilling
	if !s.close() && !isRefilling {
		return h.members.leave(ctx)
	}
	version, err := h.members.setState(ctx, turnlog.Retiring)
	if err != nil {
		return err
	}
	logged := time.Time{}
	for ctx.Err() == nil && (s.len() > 0 || isRefilling) {
		hosts, revision, _ := h.members.current()
		ready := slices.DeleteFunc(slices.Clone(hosts), func(o turnlog.Host) bool { return o.State != turnlog.Ready })
		waitingFor := "hosts"
		if revision >= uint64(version) && len(ready) >= h.copies {
			copied, ok := h.copiedRevision(ctx, ready)
			if ok && copied >= uint64(version) {
				break
			}
			waitingFor = "copies"
		}
		if time.Since(logged) > maxCopyInterval {
			logged = time.Now()
			logging.Emit(logging.RetirementWaits, logging.Fields{"host": h.settings.Host.Name, "turns": s.len(), "waiting_for": waitingFor})
		}
		sleep(ctx, idleCheckInterval)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return h.members.leave(ctx)
}
