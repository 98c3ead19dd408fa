package ingress

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/logging"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/core/ledger"
)

func (a *accounts) write(w ledger.Write) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	value, err := json.Marshal(ledger.Record{Granted: w.Granted, Holder: a.self.Name, Tag: newIncarnation()})
	var version objectapi.Version
	if err == nil && !a.available() {
		err = objectapi.ErrUnavailable
	}
	if err == nil {
		if w.Version == 0 {
			version, err = objectapi.CreateConfirmed(ctx, a.store, KindBudgets, w.Program, value)
		} else {
			version, err = objectapi.UpdateConfirmed(ctx, a.store, KindBudgets, w.Program, value, objectapi.Version(w.Version))
		}
	}
	outcome := ledger.Stored
	switch {
	case errors.Is(err, objectapi.ErrConflict), errors.Is(err, objectapi.ErrNotFound):
		outcome = a.reread(ctx, w.Program)
	case err != nil:
		outcome = ledger.Failed
	}
	fields := logging.Fields{"program": w.Program, "granted": w.Granted, "revision": version, "error": err}
	if err != nil {
		logging.Emit(logging.GrantFailed, fields)
	} else {
		logging.Emit(logging.GrantRecorded, fields)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.apply(a.ledger.Written(a.clock.Now(), w.Program, a.self.Name, outcome, w.Granted, uint64(version)))
}

func (a *accounts) reread(ctx context.Context, program string) ledger.Outcome {
	o, err := a.store.Get(ctx, KindBudgets, program)
	switch {
	case errors.Is(err, objectapi.ErrNotFound):
		a.mu.Lock()
		defer a.mu.Unlock()
		a.ledger.Forget(program)
		return ledger.Conflict
	case err != nil:
		return ledger.Failed
	}
	a.seen(o)
	return ledger.Conflict
}

func (a *accounts) remove(r ledger.Remove) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	err := a.store.Delete(ctx, KindBudgets, r.Program, objectapi.Version(r.Version))
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
		logging.Emit(logging.RecordNotRemoved, logging.Fields{"program": r.Program, "error": err})
	}
}

func (a *accounts) seen(o objectapi.Object) {
	var r ledger.Record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		logging.Emit(logging.RecordRejected, logging.Fields{"program": o.Name, "error": err})
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.Seen(a.clock.Now(), o.Name, r, uint64(o.Version))
}

func (a *accounts) list(ctx context.Context) error {
	objects, _, err := a.store.List(ctx, KindBudgets, "")
	if err != nil {
		return err
	}
	records, versions := map[string]ledger.Record{}, map[string]uint64{}
	for _, o := range objects {
		var r ledger.Record
		if err := json.Unmarshal(o.Value, &r); err != nil {
			logging.Emit(logging.RecordRejected, logging.Fields{"program": o.Name, "error": err})
			continue
		}
		records[o.Name], versions[o.Name] = r, uint64(o.Version)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.Listed(a.clock.Now(), records, versions)
	if a.readyAt.IsZero() {
		a.readyAt = time.Now()
		if a.readyAt.Sub(a.started) > startedInOutage {
			a.ledger.PresumeShares(a.clock.Now().Add(presumeFor))
		}
	}
	return nil
}
