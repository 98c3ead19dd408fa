package membership

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	core "github.com/hyssopreel/hyssopreel/core/membership"
)

// withStoreTimeout bounds a store call by StoreTimeout; withStoreTimeout2 does so for calls with two results.
func withStoreTimeout[T any](s *Service, ctx context.Context, f func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.StoreTimeout)
	defer cancel()
	return f(ctx)
}

func withStoreTimeout2[T, U any](s *Service, ctx context.Context, f func(context.Context) (T, U, error)) (T, U, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.StoreTimeout)
	defer cancel()
	return f(ctx)
}

// readLease returns the lease of a host; its version is 0 if it does not exist.
func (s *Service) readLease(ctx context.Context, h ids.Host) (core.LeaseObject, error) {
	o, err := s.getObject(ctx, objectapi.KindLease, string(h))
	if err != nil {
		return core.LeaseObject{}, err
	}
	return decodeLease(h, o)
}

func decodeLease(h ids.Host, o objectapi.Object) (core.LeaseObject, error) {
	out := core.LeaseObject{Host: h, Version: o.Version}
	if o.Version == 0 {
		return out, nil
	}
	if err := json.Unmarshal(o.Value, &out.Lease); err != nil {
		return out, errors.Wrapf(err, "decode lease of host %q", h)
	}
	return out, nil
}

// getObject returns an object; its version is 0 if it does not exist.
func (s *Service) getObject(ctx context.Context, kind, name string) (objectapi.Object, error) {
	o, err := withStoreTimeout(s, ctx, func(ctx context.Context) (objectapi.Object, error) { return s.opts.Store.Get(ctx, kind, name) })
	if errors.Is(err, objectapi.ErrNotFound) {
		return objectapi.Object{}, nil
	}
	return o, errors.Wrapf(err, "read %s/%s", kind, name)
}

func decodeMember(o objectapi.Object) (Member, error) {
	var m Member
	if o.Version == 0 {
		return m, nil
	}
	if err := json.Unmarshal(o.Value, &m); err != nil {
		return m, errors.Wrapf(err, "decode member record %q", o.Name)
	}
	return m, nil
}

// readMember returns the member record of a host, the zero Member if it does not exist.
func (s *Service) readMember(ctx context.Context, h ids.Host) (Member, error) {
	o, err := s.getObject(ctx, objectapi.KindMember, string(h))
	if err != nil {
		return Member{}, err
	}
	return decodeMember(o)
}

// putObject creates an object if expected is 0, else it updates that version.
func (s *Service) putObject(ctx context.Context, kind, name string, value any, expected objectapi.Version) (objectapi.Version, error) {
	b, err := json.Marshal(value)
	if err != nil {
		return 0, errors.Wrapf(err, "encode %s/%s", kind, name)
	}
	return withStoreTimeout(s, ctx, func(ctx context.Context) (objectapi.Version, error) {
		if expected == 0 {
			return s.opts.Store.Create(ctx, kind, name, b)
		}
		return s.opts.Store.Update(ctx, kind, name, b, expected)
	})
}

func (s *Service) putLease(ctx context.Context, l core.Lease, expected objectapi.Version) (objectapi.Version, error) {
	return s.putObject(ctx, objectapi.KindLease, string(l.Host), l, expected)
}

func (s *Service) renewLease(e core.RenewLease) {
	sentAt := s.opts.Clock.Now()
	v, err := s.putLease(s.ctx, e.Lease, e.ExpectedVersion)
	switch {
	case err == nil:
		s.opts.Runtime.Publish(core.LeaseWritten{Lease: e.Lease, Version: v, SentAt: sentAt})
	case errors.Is(err, objectapi.ErrConflict), errors.Is(err, objectapi.ErrNotFound):
		found, err := s.readLease(s.ctx, e.Lease.Host)
		if err != nil {
			s.opts.Runtime.Publish(core.LeaseWriteFailed{})
			return
		}
		s.opts.Runtime.Publish(core.LeaseConflicted{Current: found})
	default:
		s.opts.Runtime.Publish(core.LeaseWriteFailed{})
	}
}

func (s *Service) fetchLease(h ids.Host) {
	sentAt := s.opts.Clock.Now()
	o, err := s.readLease(s.ctx, h)
	o.Host = h
	s.opts.Runtime.Publish(core.LeaseRead{Object: o, SentAt: sentAt, Failed: err != nil})
}

func (s *Service) listLeases() {
	e := core.LeasesListed{SentAt: s.opts.Clock.Now()}
	objects, _, err := withStoreTimeout2(s, s.ctx, func(ctx context.Context) ([]objectapi.Object, objectapi.Version, error) {
		return s.opts.Store.List(ctx, objectapi.KindLease, "")
	})
	e.Failed = err != nil
	for _, o := range objects {
		l, err := decodeLease(ids.Host(o.Name), o)
		if err != nil {
			s.log("lease_invalid", map[string]any{"host": o.Name, "error": err.Error()})
			continue
		}
		e.Objects = append(e.Objects, l)
	}
	s.opts.Runtime.Publish(e)
}

// claimLease writes a claim. If the outcome of the write is unknown, it reads the lease to see whether it has the claim.
func (s *Service) claimLease(e core.ClaimLease) {
	successor := s.Self().Journal
	done := core.ClaimLeaseCompleted{Host: e.Host, Journal: e.Journal}
	_, err := s.putLease(s.ctx, e.Lease, e.ExpectedVersion)
	done.Won = err == nil
	if err != nil && !errors.Is(err, objectapi.ErrUnavailable) && !errors.Is(err, objectapi.ErrConflict) {
		found, ok := s.readLeaseWithRetry(e.Host)
		if !ok {
			return
		}
		for _, c := range found.Lease.UnfinishedClaims() {
			done.Won = done.Won || c.Journal == e.Journal && c.Successor == successor
		}
	}
	s.log("claim", map[string]any{"journal": e.Journal, "won": done.Won})
	if done.Won {
		var ok bool
		if done.PriorAdoptions, ok = s.priorAdoptions(e.Host, e.Journal); !ok {
			return
		}
	}
	s.opts.Runtime.Publish(done)
}

// priorAdoptions returns the journals that the incarnation of journal j had adopted according to its member record. It
// retries until the store answers, and returns false if the service ends first.
func (s *Service) priorAdoptions(h ids.Host, j ids.Journal) ([]ids.Journal, bool) {
	for {
		m, err := s.readMember(s.ctx, h)
		if err == nil {
			if m.Journal != j {
				return nil, true
			}
			return m.Adopted, true
		}
		if !s.waitRetryInterval(s.ctx) {
			return nil, false
		}
	}
}

// readLeaseWithRetry retries until the store answers, and returns false if the service ends first.
func (s *Service) readLeaseWithRetry(h ids.Host) (core.LeaseObject, bool) {
	for {
		found, err := s.readLease(s.ctx, h)
		if err == nil {
			return found, true
		}
		if !s.waitRetryInterval(s.ctx) {
			return core.LeaseObject{}, false
		}
	}
}

func (s *Service) adoptJournal(j ids.Journal) {
	var err error
	if s.opts.Adopter != nil {
		err = s.opts.Adopter.Adopt(s.ctx, j)
	}
	fields := map[string]any{"journal": j}
	if err != nil {
		fields["error"] = err.Error()
	}
	s.log("adoption", fields)
	s.opts.Runtime.Publish(core.JournalAdopted{Journal: j, Failed: err != nil})
}

// markAdopted writes the adoption to this host's member record and then finishes the claim, so that a lease in state
// "adopted" implies that the successor's record names the journal.
func (s *Service) markAdopted(e core.MarkAdopted) {
	for s.writeMember(s.ctx, e.Self) != nil {
		if !s.waitRetryInterval(s.ctx) {
			return
		}
	}
	for {
		found, ok := s.readLeaseWithRetry(e.Host)
		if !ok {
			return
		}
		if claimedByOther(found.Lease, e.Journal, e.Successor) {
			// This host was considered failed meanwhile. The new successor still reads the journal, so it is kept.
			s.opts.Runtime.Publish(core.AdoptionMarked{Journal: e.Journal})
			return
		}
		next, priorAdoptions, held := found.Lease.WithClaimFinished(e.Journal, e.Successor)
		if held {
			if _, err := s.putLease(s.ctx, next, found.Version); err != nil {
				if !s.waitRetryInterval(s.ctx) {
					return
				}
				continue
			}
		}
		s.opts.Runtime.Publish(core.AdoptionMarked{Journal: e.Journal, PriorAdoptions: priorAdoptions})
		s.deleteJournal(e.Journal)
		return
	}
}

func claimedByOther(l core.Lease, j, successor ids.Journal) bool {
	for _, c := range l.UnfinishedClaims() {
		if c.Journal == j && c.Successor != successor {
			return true
		}
	}
	return false
}

// deleteJournal deletes the objects of an adopted journal. After a failure, the next start of their host deletes them.
func (s *Service) deleteJournal(j ids.Journal) {
	if s.opts.Hooks.DeleteJournal == nil {
		return
	}
	if err := s.opts.Hooks.DeleteJournal(s.ctx, j); err != nil {
		s.log("journal_delete_failed", map[string]any{"journal": j, "error": err.Error()})
	}
}

// memberWriter holds the newest unwritten record of each host.
type memberWriter struct {
	mu      sync.Mutex
	pending map[ids.Host]Member
	wake    chan struct{}
}

func (w *memberWriter) add(m Member) {
	w.mu.Lock()
	w.pending[m.Name] = m
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *memberWriter) takePending() map[ids.Host]Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	records := w.pending
	w.pending = map[ids.Host]Member{}
	return records
}

// writeMembers writes pending records until the service ends. It retries each until it is in the store.
func (s *Service) writeMembers() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.writer.wake:
		}
		for _, m := range s.writer.takePending() {
			for s.writeMember(s.ctx, m) != nil {
				if !s.waitRetryInterval(s.ctx) {
					return
				}
			}
		}
	}
}

// writeMember writes a record unless the store has the same or a newer version.
func (s *Service) writeMember(ctx context.Context, m Member) error {
	o, err := s.getObject(ctx, objectapi.KindMember, string(m.Name))
	if err != nil {
		return err
	}
	stored, err := decodeMember(o)
	if err != nil {
		return err
	}
	if o.Version != 0 && !m.Newer(stored) {
		return nil
	}
	_, err = s.putObject(ctx, objectapi.KindMember, string(m.Name), m, o.Version)
	return err
}
