// Package config holds the configuration that operators change by numbered tickets.
package config

import "time"

// DurationMS is a duration in milliseconds in tickets.
type DurationMS int64

// Duration returns m as a time.Duration.
func (m DurationMS) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Pool is a set of backend servers that serve one model or one plain service.
type Pool struct {
	Kind     string   `json:"kind" msgpack:"kind"` // "engine" or "service"
	Model    string   `json:"model,omitempty" msgpack:"model,omitempty"`
	Version  string   `json:"version,omitempty" msgpack:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty" msgpack:"adapters,omitempty"`
	Role     string   `json:"role,omitempty" msgpack:"role,omitempty"`
	// MaxRunning is the number of calls that one worker runs at once.
	MaxRunning int `json:"max_running" msgpack:"max_running"`
	// CacheTokens is the cache capacity of one worker, in tokens.
	CacheTokens int64 `json:"cache_tokens,omitempty" msgpack:"cache_tokens,omitempty"`
	// Policy names the scheduling policy; empty is the default policy.
	Policy string `json:"policy,omitempty" msgpack:"policy,omitempty"`
}

// Agent describes the programs of one agent name.
type Agent struct {
	Pool         string `json:"pool" msgpack:"pool"`
	Class        string `json:"class" msgpack:"class"` // "urgent", "interactive" or "batch"
	SystemPrompt string `json:"system_prompt,omitempty" msgpack:"system_prompt,omitempty"`
	// MaxTurns bounds the calls of one program; 0 is the default of 280.
	MaxTurns int `json:"max_turns,omitempty" msgpack:"max_turns,omitempty"`
	// MaxTokens bounds the generated tokens of one call.
	MaxTokens int      `json:"max_tokens" msgpack:"max_tokens"`
	Tools     []string `json:"tools,omitempty" msgpack:"tools,omitempty"`
	Agents    []string `json:"agents,omitempty" msgpack:"agents,omitempty"`
	Services  []string `json:"services,omitempty" msgpack:"services,omitempty"`
}

// Tool is a tool service that programs may call.
type Tool struct {
	Address string `json:"address" msgpack:"address"`
	// Idempotent tools may be called again if the outcome of a call is unknown. The default is false.
	Idempotent  bool       `json:"idempotent" msgpack:"idempotent"`
	CostTokens  int64      `json:"cost_tokens,omitempty" msgpack:"cost_tokens,omitempty"`
	TimeLimitMS DurationMS `json:"time_limit_ms" msgpack:"time_limit_ms"`
}

// Service is a plain service whose requests are routed to the workers of a pool.
type Service struct {
	Pool string `json:"pool" msgpack:"pool"`
	// IdempotentPaths lists the path prefixes whose requests are idempotent; GET requests always are.
	IdempotentPaths []string   `json:"idempotent_paths,omitempty" msgpack:"idempotent_paths,omitempty"`
	CostTokens      int64      `json:"cost_tokens,omitempty" msgpack:"cost_tokens,omitempty"`
	TimeLimitMS     DurationMS `json:"time_limit_ms" msgpack:"time_limit_ms"`
}

// Team has the limits of the programs that belong to one team.
type Team struct {
	// MaxBudgetTokens bounds the budget of one program.
	MaxBudgetTokens int64 `json:"max_budget_tokens" msgpack:"max_budget_tokens"`
	// MaxOpenPrograms bounds the programs that one team has open at one host.
	MaxOpenPrograms int `json:"max_open_programs" msgpack:"max_open_programs"`
}

// Objects is a set of configuration objects by name. In a ticket, a nil pointer deletes the object.
type Objects struct {
	Pools    map[string]*Pool    `json:"pools,omitempty" msgpack:"pools,omitempty"`
	Agents   map[string]*Agent   `json:"agents,omitempty" msgpack:"agents,omitempty"`
	Tools    map[string]*Tool    `json:"tools,omitempty" msgpack:"tools,omitempty"`
	Services map[string]*Service `json:"services,omitempty" msgpack:"services,omitempty"`
	Teams    map[string]*Team    `json:"teams,omitempty" msgpack:"teams,omitempty"`
}

// Ticket is one numbered change; it has the whole new state of each object that it changes.
type Ticket struct {
	Number  uint64  `json:"number" msgpack:"number"`
	Author  string  `json:"author" msgpack:"author"`
	Comment string  `json:"comment,omitempty" msgpack:"comment,omitempty"`
	Objects Objects `json:"objects" msgpack:"objects"`
	// Tag identifies the ticket after a write with unknown outcome, and makes a repeated ticket idempotent. If the
	// operator's client sent none, the accepting host sets a random tag.
	Tag string `json:"tag,omitempty" msgpack:"tag,omitempty"`
}

// Config is the configuration in force: the result of all accepted tickets up to Number.
type Config struct {
	Number  uint64  `json:"number" msgpack:"number"`
	Objects Objects `json:"objects" msgpack:"objects"`
}
