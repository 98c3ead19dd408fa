// Package api holds the JSON types of the HTTP API for callers and operators.
package api

import (
	"encoding/json"

	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/ids"
)

// HostAddress is a host to which a caller may send requests.
type HostAddress struct {
	Name          ids.Host `json:"name"`
	Address       string   `json:"address"`
	FailureDomain string   `json:"failure_domain"`
}

// HostsAnswer is the response to GET /v1/hosts: the preferred host first, then alternates. A caller may cache it
// for TTLMS milliseconds.
type HostsAnswer struct {
	Hosts []HostAddress `json:"hosts"`
	Epoch uint64        `json:"epoch"`
	TTLMS int64         `json:"ttl_ms"`
}

// OpenProgram is the body of POST /v1/programs.
type OpenProgram struct {
	Team  string `json:"team" msgpack:"team"`
	Agent string `json:"agent" msgpack:"agent"`
	// BudgetTokens bounds the tokens that the program may spend.
	BudgetTokens int64 `json:"budget_tokens" msgpack:"budget_tokens"`
	// DeadlineMS is the time from the request to the deadline of the program, in milliseconds; 0 means no
	// deadline.
	DeadlineMS int64 `json:"deadline_ms,omitempty" msgpack:"deadline_ms,omitempty"`
	// Parent, if set, makes the program a child whose tokens count against its parent's budget.
	Parent ids.Program `json:"parent,omitempty" msgpack:"parent,omitempty"`
}

// ProgramOpened is the response to POST /v1/programs.
type ProgramOpened struct {
	ID   ids.Program `json:"id" msgpack:"id"`
	Home HostAddress `json:"home" msgpack:"home"`
}

// CallKind selects what a call of a program requests.
type CallKind string

const (
	CallModel   CallKind = "model"
	CallTool    CallKind = "tool"
	CallService CallKind = "service"
	CallAgent   CallKind = "agent"
)

// Call is the body of POST /v1/programs/{id}/calls. Exactly the field named by Kind is set.
type Call struct {
	// Key is chosen by the caller and unique in the program; a call that repeats a key gets the first answer.
	Key string `json:"key" msgpack:"key"`
	// Seq is the index of the call in the program, from 1; 0 means arrival order.
	Seq     int          `json:"seq,omitempty" msgpack:"seq,omitempty"`
	Kind    CallKind     `json:"kind" msgpack:"kind"`
	Model   *ModelCall   `json:"model,omitempty" msgpack:"model,omitempty"`
	Tool    *ToolCall    `json:"tool,omitempty" msgpack:"tool,omitempty"`
	Service *ServiceCall `json:"service,omitempty" msgpack:"service,omitempty"`
	Agent   *AgentCall   `json:"agent,omitempty" msgpack:"agent,omitempty"`
	// Stream requests the answer as server-sent events.
	Stream bool `json:"stream,omitempty" msgpack:"stream,omitempty"`
}

// ModelCall requests the next turn from the agent's model. The program's home adds the history.
type ModelCall struct {
	Prompt    string `json:"prompt" msgpack:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty" msgpack:"max_tokens,omitempty"`
}

// ToolCall calls a tool service.
type ToolCall struct {
	Name string          `json:"name" msgpack:"name"`
	Args json.RawMessage `json:"args,omitempty" msgpack:"args,omitempty"`
}

// ServiceCall sends a request to a plain service.
type ServiceCall struct {
	Name   string          `json:"name" msgpack:"name"`
	Method string          `json:"method" msgpack:"method"`
	Path   string          `json:"path" msgpack:"path"`
	Body   json.RawMessage `json:"body,omitempty" msgpack:"body,omitempty"`
}

// AgentCall opens a child program, runs one model call in it, ends it and returns its answer.
type AgentCall struct {
	Name         string `json:"name" msgpack:"name"`
	Prompt       string `json:"prompt" msgpack:"prompt"`
	BudgetTokens int64  `json:"budget_tokens" msgpack:"budget_tokens"`
}

// Usage counts the tokens of one call or one program.
type Usage struct {
	PromptTokens    int64 `json:"prompt_tokens" msgpack:"prompt_tokens"`
	CachedTokens    int64 `json:"cached_tokens" msgpack:"cached_tokens"`
	GeneratedTokens int64 `json:"generated_tokens" msgpack:"generated_tokens"`
	// CostTokens is the amount charged to the budget.
	CostTokens int64 `json:"cost_tokens" msgpack:"cost_tokens"`
}

// CallAnswer is the state of a call and, once the call has ended, its result.
type CallAnswer struct {
	Program ids.Program `json:"program" msgpack:"program"`
	Key     string      `json:"key" msgpack:"key"`
	Seq     int         `json:"seq" msgpack:"seq"`
	State   string      `json:"state" msgpack:"state"` // "queued", "running", "done", "failed", "unknown"
	Text    string      `json:"text,omitempty" msgpack:"text,omitempty"`
	Usage   Usage       `json:"usage" msgpack:"usage"`
	// Durable is false while the store, being unavailable, has not confirmed the turn.
	Durable bool         `json:"durable" msgpack:"durable"`
	Error   *fault.Error `json:"error,omitempty" msgpack:"error,omitempty"`
	// Status is the HTTP status of a plain service's response.
	Status int `json:"status,omitempty" msgpack:"status,omitempty"`
	// Worker is the backend server that ran the call.
	Worker string `json:"worker,omitempty" msgpack:"worker,omitempty"`
}

// Piece is one server-sent event of a streamed model call: text whose first token has the index Offset in the
// answer, from 0.
type Piece struct {
	Offset int    `json:"offset" msgpack:"offset"`
	Text   string `json:"text" msgpack:"text"`
}

// Turn is one entry of a program's history.
type Turn struct {
	Seq     int          `json:"seq" msgpack:"seq"`
	Key     string       `json:"key" msgpack:"key"`
	Kind    CallKind     `json:"kind" msgpack:"kind"`
	Request string       `json:"request" msgpack:"request"`
	Answer  string       `json:"answer" msgpack:"answer"`
	Usage   Usage        `json:"usage" msgpack:"usage"`
	Error   *fault.Error `json:"error,omitempty" msgpack:"error,omitempty"`
	Worker  string       `json:"worker,omitempty" msgpack:"worker,omitempty"`
}

// ProgramStatus is the response to GET /v1/programs/{id}.
type ProgramStatus struct {
	ID           ids.Program `json:"id" msgpack:"id"`
	Team         string      `json:"team" msgpack:"team"`
	Agent        string      `json:"agent" msgpack:"agent"`
	Class        string      `json:"class" msgpack:"class"`
	State        string      `json:"state" msgpack:"state"` // "open", "ended", "canceled", "failed"
	Home         ids.Journal `json:"home" msgpack:"home"`
	Parent       ids.Program `json:"parent,omitempty" msgpack:"parent,omitempty"`
	Turns        int         `json:"turns" msgpack:"turns"`
	BudgetTokens int64       `json:"budget_tokens" msgpack:"budget_tokens"`
	SpentTokens  int64       `json:"spent_tokens" msgpack:"spent_tokens"`
	Usage        Usage       `json:"usage" msgpack:"usage"`
	OpenedAtMS   int64       `json:"opened_at_ms" msgpack:"opened_at_ms"`
	EndedAtMS    int64       `json:"ended_at_ms,omitempty" msgpack:"ended_at_ms,omitempty"`
}

// History is the response to GET /v1/programs/{id}/history.
type History struct {
	ID    ids.Program `json:"id" msgpack:"id"`
	Turns []Turn      `json:"turns" msgpack:"turns"`
}

// ErrorAnswer is the body of every response with a status of 400 or more.
type ErrorAnswer struct {
	Error *fault.Error `json:"error"`
}

// Member is the status of one host, for operators.
type Member struct {
	Name          ids.Host      `json:"name"`
	Journal       ids.Journal   `json:"journal"`
	FailureDomain string        `json:"failure_domain"`
	Address       string        `json:"address"`
	PeerAddress   string        `json:"peer_address"`
	State         string        `json:"state"` // "up", "suspect", "draining" or "gone"
	Adopted       []ids.Journal `json:"adopted,omitempty"`
	Ticket        uint64        `json:"ticket"`
	Programs      int           `json:"programs"`
}

// Backend is the status of one backend server, for operators.
type Backend struct {
	Name          string `json:"name"`
	Pool          string `json:"pool"`
	Kind          string `json:"kind"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
	Running       int    `json:"running"`
	CacheTokens   int64  `json:"cache_tokens"`
}

// Programs is the response to GET /v1/programs.
type Programs struct {
	Programs []ProgramStatus `json:"programs"`
}

// Members is the response to GET /v1/members.
type Members struct {
	Members []Member `json:"members"`
}

// Backends is the response to GET /v1/backends.
type Backends struct {
	Backends []Backend `json:"backends"`
}

// TicketAccepted is the response to POST /v1/tickets, whose body is a config.Ticket.
type TicketAccepted struct {
	// Number is the ticket number in force after the ticket was accepted.
	Number uint64 `json:"number"`
}

// TicketSummary is an accepted ticket without its content; GET /v1/tickets/{n} returns the whole config.Ticket.
type TicketSummary struct {
	Number       uint64 `json:"number"`
	Author       string `json:"author"`
	Comment      string `json:"comment,omitempty"`
	Tag          string `json:"tag"`
	AcceptedAtMS int64  `json:"accepted_at_ms"`
}

// Tickets is the response to GET /v1/tickets: the latest accepted tickets, the oldest first.
type Tickets struct {
	InForce uint64          `json:"in_force"`
	Tickets []TicketSummary `json:"tickets"`
}

// Pools is the response to GET /v1/pools.
type Pools struct {
	Pools []Pool `json:"pools"`
}

// Pool is a pool as configured, with the state of its workers.
type Pool struct {
	Name     string   `json:"name"`
	Kind     string   `json:"kind"` // "engine" or "service"
	Model    string   `json:"model,omitempty"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
	// Manager is the order manager, the host that sends orders to the workers; Fence is its fencing token.
	Manager ids.Host     `json:"manager,omitempty"`
	Fence   uint64       `json:"fence,omitempty"`
	Workers []PoolWorker `json:"workers,omitempty"`
}

// PoolWorker is the configuration and state of one worker of a pool.
type PoolWorker struct {
	Name     string   `json:"name"`
	Model    string   `json:"model,omitempty"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
	// State is "ready", "loading", "waiting" (for the other workers), "failed" or "unreachable".
	State string `json:"state"`
	// Order is the order in progress, for example "load_model m v2".
	Order string `json:"order,omitempty"`
	Error string `json:"error,omitempty"`
}

// Events of a streamed call: EventPiece with a Piece, then EventAnswer with a CallAnswer or EventError
// with an ErrorAnswer.
const (
	EventPiece  = "piece"
	EventAnswer = "answer"
	EventError  = "error"
)
