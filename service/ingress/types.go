// Package ingress is a reverse proxy for two kinds of requests: turns of agent programs, each with its whole prompt,
// and calls of plain services. It routes them by the operator's configuration, keeps programs within their token
// budgets, and serves the directory in which callers look up hosts.
//
// Ingress.ServeHTTP handles a request as an exchange: validateAndReadBody finds the route and reads the body; forward
// reserves tokens of the program's budget, forwards the request (forwardWithHedging for plain services, stream.run for
// streams) and settles the budget; finish logs the request and answers a failed one.
package ingress

import (
	"net/http"
	"time"

	"github.com/hyssopreel/hyssopreel/core/routing"
)

// RequestMetadata is the part of a caller's request that is in its headers.
type RequestMetadata struct {
	// Attempt is the ID of this attempt of the caller.
	Attempt string
	// Caller identifies who sends the request without revealing a key; empty if callers do not say so.
	Caller string
	// Key is the ID of the caller's API key; nil if the request has none.
	Key *routing.KeyID
	// Program is empty for requests that belong to no program.
	Program string
	// Session identifies a sequence of turns within a program.
	Session string
	// LastEventID is the ID of the last event that the caller received, if it resumes a stream.
	LastEventID string
	// Timeout is how long the caller waits for the response; 0 if the request does not set it.
	Timeout time.Duration
	// TokenBudget is the number of tokens that all turns of the program may generate together; 0 is no budget.
	TokenBudget  int
	PromptTokens int
	// MaxTokens is the upper bound of the tokens that this turn generates.
	MaxTokens int
	// PreviousTurn is the attempt ID of the turn that this one continues; empty at the start of a conversation.
	PreviousTurn string
	// ProgramDeadline is the time left until the whole program should have ended; 0 if the request does not set it.
	ProgramDeadline time.Duration
	// Object identifies the object that the request concerns; empty if it concerns none.
	Object string
}

// UpstreamMetadata is encoded in the headers of an upstream request.
type UpstreamMetadata struct {
	// Server is the ID of the intended backend server; another one at the same address refuses the request.
	Server string
	// Timeout is the time that remains for the response; 0 is no limit.
	Timeout time.Duration
	// LastEventID is the ID of the event after which a stream resumes; empty for a stream from its start.
	LastEventID string
	// FromStart is set if the stream must have all events although the caller resumes it.
	FromStart bool
	// HidesKeys is set if callers have API keys, which no backend server may see.
	HidesKeys bool
	// Team is the name of the caller's team; empty if the caller has none.
	Team string
}

// LoadReport is the number of requests that a backend server reports.
type LoadReport struct {
	Running int
	Waiting int
	// WorkTimePercent is how long work takes at the server at this moment; 100 is usual, 0 is not reported.
	WorkTimePercent int
}

// ResponseMetadata is the part of a backend server's response that is in its headers.
type ResponseMetadata struct {
	// Attempt is the ID of the attempt that the response belongs to; empty if the response has none.
	Attempt string
	// NotRun is set if the server reports that it did not start work on the request.
	NotRun bool
	// Leaving is set if the server reports that it is leaving.
	Leaving bool
	// HasServerStamp is set if the response carries the server's proof of origin.
	HasServerStamp bool
	// Load is nil if the response reports no load.
	Load *LoadReport
	// RateLimited is set if the response names a limit, RateLimit, of the requests per second that the server takes from
	// all hosts together.
	RateLimited bool
	RateLimit   float64
	// RateLimitErr is set if the response names a limit that cannot be used.
	RateLimitErr error
}

// HeaderCodec translates the headers of callers and backend servers.
type HeaderCodec interface {
	// DecodeRequest decodes the headers of a caller's request. The error names the invalid header.
	DecodeRequest(h http.Header) (RequestMetadata, error)
	// EncodeUpstream sets the system's headers on an upstream request, and removes those that a caller must not set.
	EncodeUpstream(h http.Header, m UpstreamMetadata)
	// DecodeResponse decodes the headers of a backend server's response.
	DecodeResponse(status int, h http.Header) ResponseMetadata
}
