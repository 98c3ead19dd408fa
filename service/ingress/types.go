// Package ingress serves callers whose requests go to backend servers as they are: turns of agent programs that
// bring their whole prompt, and calls of plain services. It routes them by the operator's configuration, keeps
// programs within their budgets, and tells callers which host to use.
package ingress

import (
	"net/http"
	"time"
)

// RequestMetadata is what a caller says of a request beside its method, path and body.
type RequestMetadata struct {
	// Attempt identifies this attempt of the caller.
	Attempt string
	// Program is empty for requests that belong to no program.
	Program string
	// Session is one line of turns within a program.
	Session string
	// LastEventID is the ID of the last event that the caller has, if it resumes a stream.
	LastEventID string
	// Timeout is how long the caller waits for the answer; 0 if it does not say.
	Timeout time.Duration
	// TokenBudget is the number of tokens that all turns of the program may generate together; 0 is no budget.
	TokenBudget int
	// PromptTokens is the size of the prompt.
	PromptTokens int
	// MaxTokens is the most tokens that this turn generates.
	MaxTokens int
}

// UpstreamMetadata is what the system tells the backend server about a request.
type UpstreamMetadata struct {
	// Server is the ID of the backend server that is meant; another one at the same address refuses the request.
	Server string
	// Timeout is the time that is left for the answer; 0 is no limit.
	Timeout time.Duration
	// LastEventID is the ID of the event after which a stream goes on; empty for its start.
	LastEventID string
}

// LoadReport is what a backend server says of its load.
type LoadReport struct {
	Running int
	Waiting int
}

// ResponseMetadata is what a backend server says about a request beside its status and body.
type ResponseMetadata struct {
	// Attempt is the attempt that the answer belongs to.
	Attempt string
	// NotRun is set if the server says that it did not run the request.
	NotRun bool
	// HasServerStamp is set if the answer carries the server's proof of origin.
	HasServerStamp bool
	// Load is nil if the server does not tell it.
	Load *LoadReport
}

// HeaderCodec translates the headers of callers and backend servers.
type HeaderCodec interface {
	// DecodeRequest reads a caller's request. The error names the header that is wrong.
	DecodeRequest(h http.Header) (RequestMetadata, error)
	// EncodeUpstream sets the system's headers on a request to a backend server and removes those that only the system may
	// set.
	EncodeUpstream(h http.Header, f UpstreamMetadata)
	// DecodeResponse reads the header of a backend server's answer.
	DecodeResponse(status int, h http.Header) ResponseMetadata
}
