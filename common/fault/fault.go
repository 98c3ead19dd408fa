// Package fault defines the error type that is sent between processes. An error contains the step and the peer where it
// occurred, and whether the failed request was executed.
package fault

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome is what is known about the execution of a failed request.
type Outcome string

const (
	// OutcomeNotRun means that the request was not executed and will not be.
	OutcomeNotRun Outcome = "not run"
	// OutcomeDone means that the request was executed and took effect.
	OutcomeDone Outcome = "done"
	// OutcomeUnknown means that the request was sent and may have been executed.
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

// Error is the error type that callers, operators and peers receive.
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

// New returns an error with OutcomeNotRun.
func New(code Code, step, format string, args ...any) *Error {
	return &Error{Code: code, Step: step, Message: fmt.Sprintf(format, args...), Outcome: OutcomeNotRun}
}

// WithPeer returns a copy of e with the peer.
func (e *Error) WithPeer(peer string) *Error {
	clone := *e
	clone.Peer = peer
	return &clone
}

// WithOutcome returns a copy of e with another outcome.
func (e *Error) WithOutcome(o Outcome) *Error {
	clone := *e
	clone.Outcome = o
	return &clone
}

// WithRetryAfter returns a copy of e with the delay after which the caller may retry, rounded down to milliseconds.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	clone := *e
	clone.RetryAfterMS = d.Milliseconds()
	return &clone
}

// From returns the *Error in the chain of err, or else a CodeInternal error with OutcomeUnknown. err must not be nil.
func From(err error, step string) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: CodeInternal, Step: step, Message: err.Error(), Outcome: OutcomeUnknown}
}

// httpStatus maps codes to HTTP status codes. HTTPStatus returns 500 for codes that are not listed.
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
