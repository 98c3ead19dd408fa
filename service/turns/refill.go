package turns

import (
	"context"
	"slices"
	"time"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/core/turnlog"
)

// hasAllTurns reports whether a turn that this host does not have is certainly not missing here. After too many losses that is
// so once any turn of that time has expired.
func (s *shelf) hasAllTurns() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state == copiesMade
}

// noteRetention records a retention that turns may have.
func (s *shelf) noteRetention(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.longestRetention = max(s.longestRetention, d)
}

// setCopyState changes the state of the copies on the disk and in memory.
func (s *shelf) setCopyState(state copyState) {
	if err := s.disk.setCopyState(state); err != nil {
		logging.Emit(logging.DiskEngineFailed, logging.Fields{"error": err})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state, s.turnsMissingSince = state, clock.SinceBoot()
}

// endMissingTurns ends the time in which turns may be missing, once all turns of before have expired.
func (s *shelf) endMissingTurns() {
	retained, known := s.retentionBound()
	s.mu.Lock()
	over := s.state == turnsMissing && known && clock.SinceBoot()-s.turnsMissingSince > retained
	s.mu.Unlock()
	if over {
		s.setCopyState(copiesMade)
	}
}

// retentionBound returns the time after which any turn has expired that has not been used meanwhile. known is false as long
// as this host knows of no retention.
func (s *shelf) retentionBound() (bound time.Duration, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.longestRetention + turnlog.ExpirySlack, s.longestRetention > 0
}

func (s *shelf) copyState() copyState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// checkLosses records that turns may be missing if by that list more disks were lost than tolerated while this host made
// its copies again.
func (h *Host) checkLosses(s *shelf, hosts []turnlog.Host) {
	losses := turnlog.CountLosses(hosts)
	if !h.members.own().Refilling || !losses.MayMissTurns(h.copies-1) || s.copyState() == turnsMissing {
		return
	}
	logging.Emit(logging.TurnsMayBeMissing, logging.Fields{"refilling": losses.Refilling, "tolerated": h.copies - 1})
	s.setCopyState(turnsMissing)
}

// finishRefill ends the state in which this host's disk counts as lost, once all ready hosts have made their copies by a list
// that shows the loss. It is not enough that this host has its own: a turn may have been kept here in another host's place.
func (h *Host) finishRefill(ctx context.Context, s *shelf, hosts []turnlog.Host) {
	version, known := h.members.refillingSince()
	_, revision, _ := h.members.current()
	if !known || revision < uint64(version) {
		return
	}
	if !turnlog.CountLosses(hosts).LeavesACopy(h.copies - 1) {
		return
	}
	ready := slices.DeleteFunc(slices.Clone(hosts), func(o turnlog.Host) bool { return o.State != turnlog.Ready })
	if copied, ok := h.copiedRevision(ctx, ready); !ok || copied < uint64(version) {
		return
	}
	if s.copyState() == copiesMissing {
		s.setCopyState(copiesMade)
	}
	version, err := h.members.setRefilled(ctx)
	if err != nil {
		logging.Emit(logging.DiskHostNotWritten, logging.Fields{"host": h.settings.Host.Name, "error": err})
		return
	}
	logging.Emit(logging.DiskRefilled, logging.Fields{"host": h.settings.Host.Name, "revision": version, "turns": s.len()})
}
