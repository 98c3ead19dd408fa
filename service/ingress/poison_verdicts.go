package ingress

import (
	"encoding/binary"
	"math"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/core/poison"
	"github.com/hyssopreel/hyssopreel/service/verdicts"
)

// verdictTable is the table of a verdicts.Keeper.
type verdictTable struct{ *poisonRecords }

// All implements verdicts.Table.
func (t verdictTable) All() []poison.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Records(t.now(), math.MaxInt64, math.MaxInt)
}

// Merge implements verdicts.Table.
func (t verdictTable) Merge(records []poison.Record, origin string) { t.merge(records, origin) }

// newVerdictKeeper returns the keeper of the host's verdicts, which it keeps in the store.
func (h *Host) newVerdictKeeper() *verdicts.Keeper {
	owns := func(key string) bool {
		owner, ok := h.hosts.Owner(key)
		return ok && owner.Name == h.self.Name
	}
	keeper := verdicts.NewKeeper(h.store, verdictTable{h.ingress.poison}, owns, h.heartbeats.storeReachable)
	keeper.OnStored = func() { h.metrics.Scope().Counter("stored_verdicts").Inc(1) }
	h.ingress.poison.onEnd = keeper.Observe
	h.heartbeats.sections = append(h.heartbeats.sections, verdictSection{records: h.ingress.poison, keeper: keeper})
	return keeper
}

// verdictSection is the section of heartbeats by which a host that starts while the store is unavailable learns that it
// has the verdicts of a host that has the stored ones. It holds the digest of the quarantined requests.
type verdictSection struct {
	records *poisonRecords
	keeper  *verdicts.Keeper
}

const verdictSectionBytes = 8

// Name implements HeartbeatSection.
func (verdictSection) Name() string { return "verdicts" }

// MaxBytes implements HeartbeatSection.
func (verdictSection) MaxBytes() int { return verdictSectionBytes }

// Encode implements HeartbeatSection.
func (s verdictSection) Encode() []byte {
	if !s.keeper.Known() {
		return nil
	}
	_, digest := s.records.recent()
	return binary.BigEndian.AppendUint64(nil, digest)
}

// Merge implements HeartbeatSection. The records in the heartbeat have been merged before.
func (s verdictSection) Merge(_ HeartbeatOrigin, section []byte) error {
	if len(section) != verdictSectionBytes {
		return errors.Newf("%d bytes, want %d", len(section), verdictSectionBytes)
	}
	if s.keeper.Known() {
		return nil
	}
	if _, digest := s.records.recent(); digest == binary.BigEndian.Uint64(section) {
		s.keeper.SetKnown()
	}
	return nil
}
