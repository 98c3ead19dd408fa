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
	// maxConflictBytes bounds the content of the accepted ticket in a ticket_conflict message; "ticket show" prints
	// all of it.
	maxConflictBytes = 4096
	// activationTimeout bounds how long Apply waits until the accepted ticket is in force on this host.
	activationTimeout = time.Second
)

// Apply validates the ticket, merges it into the stored configuration, and returns the result. Errors are
// *fault.Error: invalid_request lists every problem; ticket_conflict names the accepted ticket with the same or a
// higher number; store_unavailable means that the ticket was not accepted; outcome_unknown means that the store's
// response was lost and that ctx or Options.ApplyTimeout ended before the outcome could be read. Applying a ticket
// again with the tag of the first attempt returns the outcome of the first attempt.
func (s *Service) Apply(ctx context.Context, t config.Ticket) (*config.Config, error) {
	if problems := configstate.ValidateTicket(t); len(problems) > 0 {
		return nil, invalidError(problems)
	}
	if t.Tag == "" {
		t.Tag = uuid.NewString()
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.ApplyTimeout)
	defer cancel()
	doc, err := s.acceptTicket(ctx, t)
	if err != nil {
		ferr := fault.From(err, stepApply)
		s.opts.LogEvent("ticket_refused", map[string]any{"ticket": t.Number, "author": t.Author, "code": string(ferr.Code), "outcome": string(ferr.Outcome)})
		return nil, ferr
	}
	s.opts.LogEvent("ticket_accepted", map[string]any{"ticket": t.Number, "author": t.Author, "tag": t.Tag})
	s.rt.Publish(configstate.DocumentReceived{Origin: configstate.OriginApply, Document: doc})
	s.waitForTicket(ctx, t.Number)
	return &doc.Config, nil
}

// acceptTicket writes the body of the ticket and then the stored configuration with the ticket merged into it. If a
// ticket with a lower number is accepted meanwhile, it merges again.
func (s *Service) acceptTicket(ctx context.Context, t config.Ticket) (*configstate.Document, error) {
	bodyWritten := false
	for {
		doc, version, err := s.readDocument(ctx)
		if err != nil {
			return nil, unavailableError(err)
		}
		if earlier, ok := doc.FindByTag(t.Tag); ok {
			if err := s.checkSameTicket(ctx, t, earlier); err != nil {
				return nil, err
			}
			return doc, nil
		}
		if t.Number <= doc.Number {
			if !bodyWritten && !doc.HistoryCovers(t.Number) {
				return nil, s.checkBeforeHistory(ctx, t, doc)
			}
			s.discardTicketBody(ctx, t, bodyWritten)
			return nil, s.conflictError(ctx, t, doc)
		}
		next := doc.WithTicket(t, s.rt.Clock().Now())
		if problems := configstate.Validate(next.Objects); len(problems) > 0 {
			// The body is not deleted: a retry with the same tag may be valid after another ticket.
			return nil, invalidError(problems)
		}
		if !bodyWritten {
			if err := s.writeTicket(ctx, t); err != nil {
				return nil, err
			}
			bodyWritten = true
		}
		accepted, err := s.replaceDocument(ctx, next, version, t)
		if err != nil || accepted != nil {
			return accepted, err
		}
	}
}

// replaceDocument stores next if the stored configuration still has the given version. It returns nil without an
// error if another ticket was accepted instead. After a lost response it repeats the same conditional update: at most
// one of the two can take effect, and once the version has changed, the list of accepted tickets shows whether one did.
func (s *Service) replaceDocument(ctx context.Context, next *configstate.Document, version objectapi.Version, t config.Ticket) (*configstate.Document, error) {
	value, err := next.Encode()
	if err != nil {
		return nil, fault.New(fault.CodeInternal, stepApply, "configuration with ticket %d: %s", t.Number, err)
	}
	if len(value) > objectapi.MaxValueBytes {
		return nil, fault.New(fault.CodeTooLarge, stepApply, "the configuration with ticket %d has %d bytes compressed; the limit is %d", t.Number, len(value), objectapi.MaxValueBytes)
	}
	responseLost := false // an earlier attempt may have taken effect or may still take effect
	for backoff := s.opts.MinBackoff; ; backoff = min(2*backoff, s.opts.MaxBackoff) {
		err := s.writeObject(ctx, objectapi.KindConfig, documentObjectName, value, version)
		switch {
		case err == nil:
			return next, nil
		case errors.Is(err, objectapi.ErrConflict):
			if !responseLost {
				return nil, nil
			}
			return s.resolveOutcome(ctx, next, t)
		case errors.Is(err, objectapi.ErrUnavailable):
			if !responseLost {
				return nil, unavailableError(err)
			}
		case errors.Is(err, objectapi.ErrTooLarge):
			return nil, fault.New(fault.CodeTooLarge, stepApply, "configuration with ticket %d: %s", t.Number, err)
		default:
			responseLost = true
		}
		if !sleep(ctx, jitter(backoff)) {
			return nil, outcomeUnknownError(t)
		}
	}
}

// resolveOutcome reads whether the ticket was accepted, after the stored version has changed. It returns nil without an
// error if it was not.
func (s *Service) resolveOutcome(ctx context.Context, next *configstate.Document, t config.Ticket) (*configstate.Document, error) {
	for backoff := s.opts.MinBackoff; ; backoff = min(2*backoff, s.opts.MaxBackoff) {
		doc, _, err := s.readDocument(ctx)
		if err == nil {
			if _, ok := doc.FindByTag(t.Tag); ok {
				return next, nil
			}
			if doc.HistoryCovers(t.Number) {
				return nil, nil
			}
			return nil, outcomeUnknownError(t)
		}
		if !sleep(ctx, jitter(backoff)) {
			return nil, outcomeUnknownError(t)
		}
	}
}

// writeTicket writes the body of the ticket, which is not read before the ticket is accepted. After a lost response it
// writes the body again.
func (s *Service) writeTicket(ctx context.Context, t config.Ticket) error {
	value, err := configstate.EncodeTicket(t)
	if err != nil {
		return fault.New(fault.CodeInternal, stepApply, "body of ticket %d: %s", t.Number, err)
	}
	for backoff := s.opts.MinBackoff; ; backoff = min(2*backoff, s.opts.MaxBackoff) {
		err := s.writeObject(ctx, objectapi.KindTicket, ticketName(t), value, 0)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, objectapi.ErrConflict):
			// The body exists: the response to an earlier attempt was lost, or another request used the same tag.
			return s.checkSameTicket(ctx, t, configstate.AcceptedTicket{Number: t.Number, Tag: t.Tag})
		case errors.Is(err, objectapi.ErrTooLarge):
			return fault.New(fault.CodeTooLarge, stepApply, "body of ticket %d: %s", t.Number, err)
		case errors.Is(err, objectapi.ErrUnavailable):
			return unavailableError(err)
		}
		if !sleep(ctx, jitter(backoff)) {
			// The ticket was not accepted: the configuration is replaced only after this write.
			return unavailableError(err)
		}
	}
}

// checkSameTicket returns a key_reused error if the tag was used for a ticket with other content.
func (s *Service) checkSameTicket(ctx context.Context, t config.Ticket, accepted configstate.AcceptedTicket) error {
	first, err := s.readTicket(ctx, ticketName(config.Ticket{Number: accepted.Number, Tag: accepted.Tag}))
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

// checkBeforeHistory returns the error for a ticket whose number is older than the list of accepted tickets:
// outcome_unknown if a body with its tag is stored, because an earlier attempt may have been accepted, and
// ticket_conflict otherwise.
func (s *Service) checkBeforeHistory(ctx context.Context, t config.Ticket, doc *configstate.Document) error {
	_, err := s.readTicket(ctx, ticketName(t))
	if errors.Is(err, objectapi.ErrNotFound) {
		return s.conflictError(ctx, t, doc)
	}
	if err != nil {
		return unavailableError(err).WithOutcome(fault.OutcomeUnknown)
	}
	return outcomeUnknownError(t)
}

func sameTicket(a, b config.Ticket) (bool, error) {
	encodedA, err := json.Marshal(a)
	if err != nil {
		return false, errors.Wrapf(err, "encode ticket %d", a.Number)
	}
	encodedB, err := json.Marshal(b)
	return string(encodedA) == string(encodedB), errors.Wrapf(err, "encode ticket %d", b.Number)
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

// discardTicketBody deletes the body, if written, of a ticket that was not accepted. A body that cannot be deleted has
// no effect: Ticket reads the tag from the list of accepted tickets.
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

// conflictError returns a ticket_conflict error that names the accepted ticket with the same number, or the ticket in
// force if there is none.
func (s *Service) conflictError(ctx context.Context, t config.Ticket, doc *configstate.Document) error {
	winner, ok := doc.FindByNumber(t.Number)
	if !ok {
		if winner, ok = doc.FindByNumber(doc.Number); !ok {
			return fault.New(fault.CodeTicketConflict, stepApply, "ticket number %d is not higher than the number in force, %d", t.Number, doc.Number)
		}
	}
	message := fmt.Sprintf("ticket %d by %q (tag %s) was accepted; the number in force is %d", winner.Number, winner.Author, winner.Tag, doc.Number)
	if body, err := s.readTicket(ctx, ticketName(config.Ticket{Number: winner.Number, Tag: winner.Tag})); err == nil {
		if content, err := json.Marshal(body.Objects); err == nil {
			message += "; its content: " + truncate(string(content), maxConflictBytes)
		}
	}
	return fault.New(fault.CodeTicketConflict, stepApply, "%s", message)
}

// Ticket returns an accepted ticket. Tickets older than the list of accepted ones are found by the number in their
// object name. The error is not_found if no such ticket was accepted.
func (s *Service) Ticket(ctx context.Context, number uint64) (config.Ticket, error) {
	doc := s.current.Load()
	if number > doc.Number || len(doc.AcceptedTickets) == 0 {
		fresh, _, err := s.readDocument(ctx)
		if err != nil {
			return config.Ticket{}, unavailableErrorAt(stepTicket, err)
		}
		doc = fresh
	}
	if accepted, ok := doc.FindByNumber(number); ok {
		t, err := s.readTicket(ctx, ticketName(config.Ticket{Number: accepted.Number, Tag: accepted.Tag}))
		if err != nil {
			return config.Ticket{}, unavailableErrorAt(stepTicket, err)
		}
		return t, nil
	}
	if doc.HistoryCovers(number) {
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
		return config.Ticket{}, fault.New(fault.CodeNotFound, stepTicket, "found %d stored tickets with the number %d, which is older than the list of accepted tickets; expected exactly one", len(objects), number)
	}
	t, err := configstate.DecodeTicket(objects[0].Value)
	if err != nil {
		return config.Ticket{}, fault.New(fault.CodeInternal, stepTicket, "ticket %d: %s", number, err)
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

// waitForTicket waits until the number is in force on this host, at most for activationTimeout.
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

func invalidError(problems []string) *fault.Error {
	return fault.New(fault.CodeInvalidRequest, stepApply, "%s", strings.Join(problems, "; "))
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
		"the store's response was lost; ticket %d was accepted if \"ticket show %d\" prints the tag %s", t.Number, t.Number, t.Tag).WithOutcome(fault.OutcomeUnknown)
}

func truncate(s string, limit int) string {
	if len(s) <= limit {
		return s
	}
	return strings.ToValidUTF8(s[:limit], "") + "..."
}
