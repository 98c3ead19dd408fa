package configuration

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/core/configstate"
)

const (
	stepApply  = "apply ticket"
	stepTicket = "read ticket"
	// maxConflictBytes bounds the winner's content in a ticket_conflict message; "ticket show" has all.
	maxConflictBytes = 4096
	// activationTimeout bounds the wait for an accepted ticket to be in force on the accepting host.
	activationTimeout = time.Second
)

// Apply validates, merges and writes the ticket, and returns the configuration that it led to. Errors are
// *fault.Error: invalid_request lists every problem; ticket_conflict names the ticket that was accepted
// with the same or a higher number; store_unavailable did not run; outcome_unknown arises if the store's
// answer was lost and ctx or Options.ApplyTimeout ended before the outcome could be read back. Applying a ticket again with the
// tag of the first attempt returns the first outcome.
func (s *Service) Apply(ctx context.Context, t config.Ticket) (*config.Config, error) {
	if p := configstate.ValidateTicket(t); len(p) > 0 {
		return nil, invalidError(p)
	}
	if t.Tag == "" {
		t.Tag = uuid.NewString()
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.ApplyTimeout)
	defer cancel()
	d, err := s.acceptTicket(ctx, t)
	if err != nil {
		f := fault.From(err, stepApply)
		s.opts.LogEvent("ticket_refused", map[string]any{"ticket": t.Number, "author": t.Author, "code": string(f.Code), "outcome": string(f.Outcome)})
		return nil, f
	}
	s.opts.LogEvent("ticket_accepted", map[string]any{"ticket": t.Number, "author": t.Author, "tag": t.Tag})
	s.rt.Publish(configstate.DocumentReceived{Origin: configstate.OriginApply, Document: d})
	s.waitForTicket(ctx, t.Number)
	return &d.Config, nil
}

// acceptTicket writes the ticket. It merges it again when a ticket with a lower number was accepted meanwhile.
func (s *Service) acceptTicket(ctx context.Context, t config.Ticket) (*configstate.Document, error) {
	written := false
	for {
		d, version, err := s.readDocument(ctx)
		if err != nil {
			return nil, unavailableError(err)
		}
		if a, ok := d.FindByTag(t.Tag); ok {
			if err := s.checkSameTicket(ctx, t, a); err != nil {
				return nil, err
			}
			return d, nil
		}
		if t.Number <= d.Number {
			if !written && !d.HistoryCovers(t.Number) {
				return nil, s.checkBeforeHistory(ctx, t, d)
			}
			s.discardTicketBody(ctx, t, written)
			return nil, s.conflictError(ctx, t, d)
		}
		next := d.WithTicket(t, s.rt.Clock().Now())
		if p := configstate.Validate(next.Objects); len(p) > 0 {
			// The body stays: a request with the same tag may still be accepted after another ticket.
			return nil, invalidError(p)
		}
		if !written {
			if err := s.writeTicket(ctx, t); err != nil {
				return nil, err
			}
			written = true
		}
		accepted, err := s.replaceDocument(ctx, next, version, t)
		if err != nil || accepted != nil {
			return accepted, err
		}
	}
}

// replaceDocument makes next the stored configuration if the stored version is still the given one. It returns
// nil without an error if another ticket was accepted instead. After a lost answer it repeats the same
// conditional update: at most one of the two can take effect, and once the version has moved on, the
// list of accepted tickets tells which.
func (s *Service) replaceDocument(ctx context.Context, next *configstate.Document, version objectapi.Version, t config.Ticket) (*configstate.Document, error) {
	value, err := next.Encode()
	if err != nil {
		return nil, fault.New(fault.CodeInternal, stepApply, "%s", err)
	}
	if len(value) > objectapi.MaxValueBytes {
		return nil, fault.New(fault.CodeTooLarge, stepApply, "the configuration takes %d bytes compressed, the limit is %d", len(value), objectapi.MaxValueBytes)
	}
	lost := false // an earlier attempt may have taken effect or may still do so
	for pause := s.opts.MinBackoff; ; pause = min(2*pause, s.opts.MaxBackoff) {
		err := s.writeObject(ctx, objectapi.KindConfig, documentObjectName, value, version)
		switch {
		case err == nil:
			return next, nil
		case errors.Is(err, objectapi.ErrConflict):
			if !lost {
				return nil, nil
			}
			return s.resolveOutcome(ctx, next, t)
		case errors.Is(err, objectapi.ErrUnavailable):
			if !lost {
				return nil, unavailableError(err)
			}
		case errors.Is(err, objectapi.ErrTooLarge):
			return nil, fault.New(fault.CodeTooLarge, stepApply, "%s", err)
		default:
			lost = true
		}
		if !sleep(ctx, jitter(pause)) {
			return nil, outcomeUnknownError(t)
		}
	}
}

// resolveOutcome reads whether the ticket is among the accepted ones, after the stored version moved on.
func (s *Service) resolveOutcome(ctx context.Context, next *configstate.Document, t config.Ticket) (*configstate.Document, error) {
	for pause := s.opts.MinBackoff; ; pause = min(2*pause, s.opts.MaxBackoff) {
		d, _, err := s.readDocument(ctx)
		if err == nil {
			if _, ok := d.FindByTag(t.Tag); ok {
				return next, nil
			}
			if d.HistoryCovers(t.Number) {
				return nil, nil
			}
			return nil, outcomeUnknownError(t)
		}
		if !sleep(ctx, jitter(pause)) {
			return nil, outcomeUnknownError(t)
		}
	}
}

// writeTicket writes the body of the ticket, which nobody reads before the ticket is accepted. A lost
// answer is settled by writing it again.
func (s *Service) writeTicket(ctx context.Context, t config.Ticket) error {
	value, err := configstate.EncodeTicket(t)
	if err != nil {
		return fault.New(fault.CodeInternal, stepApply, "%s", err)
	}
	for pause := s.opts.MinBackoff; ; pause = min(2*pause, s.opts.MaxBackoff) {
		err := s.writeObject(ctx, objectapi.KindTicket, ticketName(t), value, 0)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, objectapi.ErrConflict):
			// Written by an attempt whose answer was lost, or under the same tag by another request.
			return s.checkSameTicket(ctx, t, configstate.AcceptedTicket{Number: t.Number, Tag: t.Tag})
		case errors.Is(err, objectapi.ErrTooLarge):
			return fault.New(fault.CodeTooLarge, stepApply, "%s", err)
		case errors.Is(err, objectapi.ErrUnavailable):
			return unavailableError(err)
		}
		if !sleep(ctx, jitter(pause)) {
			// The ticket cannot be accepted any more: only this call would have replaced the configuration.
			return unavailableError(err)
		}
	}
}

// checkSameTicket refuses a tag that was used for another ticket.
func (s *Service) checkSameTicket(ctx context.Context, t config.Ticket, a configstate.AcceptedTicket) error {
	first, err := s.readTicket(ctx, ticketName(config.Ticket{Number: a.Number, Tag: a.Tag}))
	if err != nil {
		// An earlier attempt with this tag may have been accepted.
		return unavailableError(err).WithOutcome(fault.OutcomeUnknown)
	}
	same, err := sameTicket(first, t)
	if err != nil {
		return fault.New(fault.CodeInternal, stepApply, "%s", err)
	}
	if !same {
		return fault.New(fault.CodeKeyReused, stepApply, "tag %q belongs to another ticket, number %d of %q", t.Tag, first.Number, first.Author)
	}
	return nil
}

// checkBeforeHistory refuses a ticket whose number is older than the list of accepted tickets. If a body
// with its tag is stored, an earlier attempt may have been accepted.
func (s *Service) checkBeforeHistory(ctx context.Context, t config.Ticket, d *configstate.Document) error {
	_, err := s.readTicket(ctx, ticketName(t))
	if errors.Is(err, objectapi.ErrNotFound) {
		return s.conflictError(ctx, t, d)
	}
	if err != nil {
		return unavailableError(err).WithOutcome(fault.OutcomeUnknown)
	}
	return outcomeUnknownError(t)
}

func sameTicket(a, b config.Ticket) (bool, error) {
	x, err := json.Marshal(a)
	if err != nil {
		return false, errors.Wrap(err, "encode ticket")
	}
	y, err := json.Marshal(b)
	return string(x) == string(y), errors.Wrap(err, "encode ticket")
}

// writeObject creates the object if version is 0, and updates it otherwise.
func (s *Service) writeObject(ctx context.Context, kind, name string, value []byte, version objectapi.Version) error {
	ctx, cancel := context.WithTimeout(ctx, s.opts.RequestTimeout)
	defer cancel()
	var err error
	if version == 0 {
		_, err = s.store.Create(ctx, kind, name, value)
	} else {
		_, err = s.store.Update(ctx, kind, name, value, version)
	}
	return err
}

// discardTicketBody deletes the body of a ticket that was certainly not accepted. A body that stays behind is
// harmless: Ticket looks up the tag among the accepted tickets.
func (s *Service) discardTicketBody(ctx context.Context, t config.Ticket, written bool) {
	if !written {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.RequestTimeout)
	defer cancel()
	if err := s.store.Delete(ctx, objectapi.KindTicket, ticketName(t), 0); err != nil {
		s.opts.LogEvent("ticket_body_left", map[string]any{"ticket": t.Number, "tag": t.Tag, "error": err.Error()})
	}
}

// conflictError returns the ticket_conflict error. It names the accepted ticket with the same number, or else
// the one in force.
func (s *Service) conflictError(ctx context.Context, t config.Ticket, d *configstate.Document) error {
	w, ok := d.FindByNumber(t.Number)
	if !ok {
		if w, ok = d.FindByNumber(d.Number); !ok {
			return fault.New(fault.CodeTicketConflict, stepApply, "ticket number %d is not higher than the number in force, %d", t.Number, d.Number)
		}
	}
	msg := fmt.Sprintf("ticket %d by %q (tag %s) was accepted; the number in force is %d", w.Number, w.Author, w.Tag, d.Number)
	if first, err := s.readTicket(ctx, ticketName(config.Ticket{Number: w.Number, Tag: w.Tag})); err == nil {
		if content, err := json.Marshal(first.Objects); err == nil {
			msg += "; its content: " + truncate(string(content), maxConflictBytes)
		}
	}
	return fault.New(fault.CodeTicketConflict, stepApply, "%s", msg)
}

// Ticket returns an accepted ticket. Tickets older than the list of accepted ones are found by name.
func (s *Service) Ticket(ctx context.Context, number uint64) (config.Ticket, error) {
	d := s.current.Load()
	if number > d.Number || len(d.AcceptedTickets) == 0 {
		fresh, _, err := s.readDocument(ctx)
		if err != nil {
			return config.Ticket{}, unavailableErrorAt(stepTicket, err)
		}
		d = fresh
	}
	if a, ok := d.FindByNumber(number); ok {
		t, err := s.readTicket(ctx, ticketName(config.Ticket{Number: a.Number, Tag: a.Tag}))
		if err != nil {
			return config.Ticket{}, unavailableErrorAt(stepTicket, err)
		}
		return t, nil
	}
	if d.HistoryCovers(number) {
		return config.Ticket{}, fault.New(fault.CodeNotFound, stepTicket, "no ticket with the number %d was accepted", number)
	}
	return s.findTicketByNumber(ctx, number)
}

func (s *Service) findTicketByNumber(ctx context.Context, number uint64) (config.Ticket, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.RequestTimeout)
	defer cancel()
	objects, _, err := s.store.List(ctx, objectapi.KindTicket, fmt.Sprintf("%d-", number))
	if err != nil {
		return config.Ticket{}, unavailableErrorAt(stepTicket, err)
	}
	if len(objects) != 1 {
		return config.Ticket{}, fault.New(fault.CodeNotFound, stepTicket, "%d bodies of tickets with the number %d are stored, and the list of accepted tickets does not reach back to it", len(objects), number)
	}
	t, err := configstate.DecodeTicket(objects[0].Value)
	if err != nil {
		return config.Ticket{}, fault.New(fault.CodeInternal, stepTicket, "%s", err)
	}
	return t, nil
}

func (s *Service) readTicket(ctx context.Context, name string) (config.Ticket, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.RequestTimeout)
	defer cancel()
	o, err := s.store.Get(ctx, objectapi.KindTicket, name)
	if err != nil {
		return config.Ticket{}, errors.Wrapf(err, "read ticket %s", name)
	}
	return configstate.DecodeTicket(o.Value)
}

// waitForTicket waits until the number is in force on this host.
func (s *Service) waitForTicket(ctx context.Context, number uint64) {
	ctx, cancel := context.WithTimeout(ctx, activationTimeout)
	defer cancel()
	for {
		s.mu.Lock()
		changed := s.documentChanged
		s.mu.Unlock()
		if s.TicketNumber() >= number {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func ticketName(t config.Ticket) string { return fmt.Sprintf("%d-%s", t.Number, t.Tag) }

func invalidError(p []string) *fault.Error {
	return fault.New(fault.CodeInvalidRequest, stepApply, "%s", strings.Join(p, "; "))
}

func unavailableError(err error) *fault.Error { return unavailableErrorAt(stepApply, err) }

func unavailableErrorAt(step string, err error) *fault.Error {
	var f *fault.Error
	if errors.As(err, &f) {
		return f
	}
	return fault.New(fault.CodeStoreUnavailable, step, "%s", err).WithRetryAfter(time.Second)
}

func outcomeUnknownError(t config.Ticket) *fault.Error {
	return fault.New(fault.CodeOutcomeUnknown, stepApply,
		"the store's answer was lost; ticket %d is accepted if \"ticket show %d\" lists the tag %s", t.Number, t.Number, t.Tag).WithOutcome(fault.OutcomeUnknown)
}

func truncate(s string, limit int) string {
	if len(s) <= limit {
		return s
	}
	return strings.ToValidUTF8(s[:limit], "") + "..."
}
