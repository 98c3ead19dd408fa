package ingress

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/core/ledger"
)

// writeRecord writes a grant record and reports the outcome to the ledger.
func (a *budgetService) writeRecord(w ledger.WriteGrant) {
	ctx, cancel := context.WithTimeout(context.Background(), recordWriteTimeout)
	defer cancel()
	record := w.Record(a.self.Name)
	record.WriteID = newIncarnation()
	value, err := json.Marshal(record)
	var version objectapi.Version
	if err == nil && !a.reachesStore() {
		err = objectapi.ErrUnavailable
	}
	if err == nil {
		if w.Version == 0 {
			version, err = objectapi.CreateConfirmed(ctx, a.store, KindBudgets, w.Program, value)
		} else {
			version, err = objectapi.UpdateConfirmed(ctx, a.store, KindBudgets, w.Program, value, objectapi.Version(w.Version))
		}
	}
	a.scope.Counter("budget_record_writes").Inc(1)
	outcome := ledger.WriteStored
	switch {
	case errors.Is(err, objectapi.ErrConflict), errors.Is(err, objectapi.ErrNotFound):
		outcome = a.rereadRecord(ctx, w.Program)
	case err != nil:
		outcome = ledger.WriteUnknown
	}
	fields := logging.Fields{"program": w.Program, "granted": w.Granted, "revision": version, "error": err}
	if err != nil {
		logging.Emit(logging.GrantRecordWriteFailed, fields)
	} else {
		logging.Emit(logging.GrantRecorded, fields)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyEffects(a.ledger.GrantWritten(a.clock.Now(), w, a.self.Name, outcome, uint64(version)))
}

// rereadRecord reports to the ledger the record that another host wrote or deleted. It returns WriteUnknown if the
// record cannot be read, WriteConflict otherwise.
func (a *budgetService) rereadRecord(ctx context.Context, program string) ledger.WriteResult {
	o, err := a.store.Get(ctx, KindBudgets, program)
	switch {
	case errors.Is(err, objectapi.ErrNotFound):
		a.mu.Lock()
		defer a.mu.Unlock()
		a.ledger.RecordDeleted(program)
		return ledger.WriteConflict
	case err != nil:
		return ledger.WriteUnknown
	}
	a.observeRecord(o)
	return ledger.WriteConflict
}

// removeRecord deletes the record of an ended program. If another host has written it since, it is read again.
func (a *budgetService) removeRecord(r ledger.DeleteRecord) {
	ctx, cancel := context.WithTimeout(context.Background(), recordWriteTimeout)
	defer cancel()
	err := a.store.Delete(ctx, KindBudgets, r.Program, objectapi.Version(r.Version))
	switch {
	case err == nil, errors.Is(err, objectapi.ErrNotFound):
		a.mu.Lock()
		defer a.mu.Unlock()
		a.ledger.RecordDeleted(r.Program)
		return
	case errors.Is(err, objectapi.ErrConflict):
		a.rereadRecord(ctx, r.Program)
	default:
		logging.Emit(logging.GrantRecordDeleteFailed, logging.Fields{"program": r.Program, "error": err})
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.DeleteFailed(r.Program)
}

func (a *budgetService) observeRecord(o objectapi.Object) {
	var r ledger.GrantRecord
	if err := json.Unmarshal(o.Value, &r); err != nil {
		logging.Emit(logging.GrantRecordRejected, logging.Fields{"program": o.Name, "error": err})
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.RecordSeen(a.clock.Now(), o.Name, r, uint64(o.Version))
}

// listRecords reads all records. Records need no watch: a host that misses one writes a grant and gets a conflict, and the
// founder's share is left free.
func (a *budgetService) listRecords(ctx context.Context) error {
	startedAt := a.clock.Now()
	objects, revision, err := a.store.List(ctx, KindBudgets, "")
	if err != nil {
		return err
	}
	records, versions := map[string]ledger.GrantRecord{}, map[string]uint64{}
	for _, o := range objects {
		var r ledger.GrantRecord
		if err := json.Unmarshal(o.Value, &r); err != nil {
			logging.Emit(logging.GrantRecordRejected, logging.Fields{"program": o.Name, "error": err})
			continue
		}
		records[o.Name], versions[o.Name] = r, uint64(o.Version)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.RecordsListed(a.clock.Now(), startedAt, uint64(revision), records, versions)
	a.recordsRead = true
	return nil
}
