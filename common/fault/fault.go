// Package fault defines the error that crosses process boundaries: it carries the step and the peer at
// which it arose, and what is known about the request that it answers.
package fault

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome says what is known about a request that failed.
type Outcome string

const (
	// OutcomeNotRun means that the request did not run and will not run.
	OutcomeNotRun Outcome = "not run"
	// OutcomeDone means that the request ran and its effect took place.
	OutcomeDone Outcome = "done"
	// OutcomeUnknown means that the request was sent, and that it may or may not have run.
	OutcomeUnknown Outcome = "outcome unknown"
)

// Code is a stable, machine-readable error code.
type Code string

const (
	CodeInvalidRequest     Code = "invalid_request"
	CodeTooLarge           Code = "too_large"
	CodeNotFound           Code = "not_found"
	CodeMoved              Code = "moved"
	CodeOutOfOrder         Code = "out_of_order"
	CodeKeyReused          Code = "key_reused"
	CodeProgramEnded       Code = "program_ended"
	CodeBudgetExceeded     Code = "budget_exceeded"
	CodeTurnLimit          Code = "turn_limit"
	CodeDeadlineExceeded   Code = "deadline_exceeded"
	CodeOverloaded         Code = "overloaded"
	CodeLimitExceeded      Code = "limit_exceeded"
	CodeStoreUnavailable   Code = "store_unavailable"
	CodeDraining           Code = "draining"
	CodePeerUnreachable    Code = "peer_unreachable"
	CodeBackendUnreachable Code = "backend_unreachable"
	CodeBackendFailed      Code = "backend_failed"
	CodeTimeout            Code = "timeout"
	CodeCanceled           Code = "canceled"
	CodeOutcomeUnknown     Code = "outcome_unknown"
	CodeTicketConflict     Code = "ticket_conflict"
	CodeInternal           Code = "internal"
)

// Error is the one error type that callers, operators and peers see.
type Error struct {
	Code         Code    `json:"code" msgpack:"code"`
	Message      string  `json:"message" msgpack:"message"`
	Step         string  `json:"step" msgpack:"step"`
	Peer         string  `json:"peer,omitempty" msgpack:"peer,omitempty"`
	Outcome      Outcome `json:"outcome" msgpack:"outcome"`
	RetryAfterMS int64   `json:"retry_after_ms,omitempty" msgpack:"retry_after_ms,omitempty"`
}

// Error implements error.
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %s (%s, %s)", e.Step, e.Message, e.Code, e.Outcome)
	}
	return fmt.Sprintf("%s at %s: %s (%s, %s)", e.Step, e.Peer, e.Message, e.Code, e.Outcome)
}

// New returns an error of a request that did not run.
func New(code Code, step, format string, args ...any) *Error {
	return &Error{Code: code, Step: step, Message: fmt.Sprintf(format, args...), Outcome: OutcomeNotRun}
}

// WithPeer returns a copy of e that names the peer.
func (e *Error) WithPeer(peer string) *Error {
	c := *e
	c.Peer = peer
	return &c
}

// WithOutcome returns a copy of e with another outcome.
func (e *Error) WithOutcome(o Outcome) *Error {
	c := *e
	c.Outcome = o
	return &c
}

// WithRetryAfter returns a copy of e with a time after which a retry is worthwhile.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfterMS = d.Milliseconds()
	return &c
}

// From returns the *Error in err's chain, or an internal error with an unknown outcome.
func From(err error, step string) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: CodeInternal, Step: step, Message: err.Error(), Outcome: OutcomeUnknown}
}

// httpStatus maps codes to HTTP status codes; codes that are missing map to 500.
var httpStatus = map[Code]int{
	CodeInvalidRequest:     http.StatusBadRequest,
	CodeTooLarge:           http.StatusRequestEntityTooLarge,
	CodeNotFound:           http.StatusNotFound,
	CodeMoved:              http.StatusConflict,
	CodeOutOfOrder:         http.StatusConflict,
	CodeKeyReused:          http.StatusConflict,
	CodeProgramEnded:       http.StatusConflict,
	CodeBudgetExceeded:     http.StatusPaymentRequired,
	CodeTurnLimit:          http.StatusConflict,
	CodeDeadlineExceeded:   http.StatusGatewayTimeout,
	CodeOverloaded:         http.StatusTooManyRequests,
	CodeLimitExceeded:      http.StatusTooManyRequests,
	CodeStoreUnavailable:   http.StatusServiceUnavailable,
	CodeDraining:           http.StatusServiceUnavailable,
	CodePeerUnreachable:    http.StatusBadGateway,
	CodeBackendUnreachable: http.StatusBadGateway,
	CodeBackendFailed:      http.StatusBadGateway,
	CodeTimeout:            http.StatusGatewayTimeout,
	CodeCanceled:           http.StatusConflict,
	CodeOutcomeUnknown:     http.StatusConflict,
	CodeTicketConflict:     http.StatusConflict,
}

// HTTPStatus returns the HTTP status code of the error.
func (e *Error) HTTPStatus() int {
	if s, ok := httpStatus[e.Code]; ok {
		return s
	}
	return http.StatusInternalServerError
}
