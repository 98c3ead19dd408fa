package configstate

import (
	"cmp"
	"fmt"
	"maps"
	"net"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/core/sched"
)

// Limits of configuration objects.
const (
	MaxCommentBytes      = 256
	MaxAuthorBytes       = 128
	MaxRunningPerWorker  = 4096
	MaxTurnsPerProgram   = 10_000
	MaxTokensPerCall     = 320_000 // the longest program that the system is designed for
	MaxSystemPromptBytes = 128 << 10
	MaxTimeLimit         = time.Hour
)

var (
	// namePattern keeps names usable in URLs, object names and group names ("<pool>/<index>").
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	tagPattern  = regexp.MustCompile(`^[A-Za-z0-9-]{1,64}$`)
)

type problems []string

func (p *problems) require(ok bool, format string, args ...any) {
	if !ok {
		*p = append(*p, fmt.Sprintf(format, args...))
	}
}

// ValidateTicket returns every problem of the ticket itself, independent of the configuration in force.
func ValidateTicket(t config.Ticket) []string {
	var p problems
	objects := t.Objects
	p.require(t.Number > 0, "ticket: number must be positive")
	p.require(t.Author != "", "ticket: author is missing")
	p.require(len(t.Author) <= MaxAuthorBytes, "ticket: author is longer than %d bytes", MaxAuthorBytes)
	p.require(len(t.Comment) <= MaxCommentBytes, "ticket: comment is longer than %d bytes", MaxCommentBytes)
	p.require(t.Tag == "" || tagPattern.MatchString(t.Tag), "ticket: tag %q has other characters than letters, digits and hyphens, or more than 64", t.Tag)
	p.require(len(objects.Pools)+len(objects.Agents)+len(objects.Tools)+len(objects.Services)+len(objects.Teams) > 0, "ticket: it changes no object")
	checkNames(&p, "pool", objects.Pools)
	checkNames(&p, "agent", objects.Agents)
	checkNames(&p, "tool", objects.Tools)
	checkNames(&p, "service", objects.Services)
	checkNames(&p, "team", objects.Teams)
	return p
}

// Validate returns every problem of a whole configuration, in a fixed order.
func Validate(objects config.Objects) []string {
	var p problems
	forEachSorted(objects.Pools, func(name string, v *config.Pool) { checkPool(&p, name, v) })
	forEachSorted(objects.Agents, func(name string, v *config.Agent) { checkAgent(&p, name, v, objects) })
	forEachSorted(objects.Tools, func(name string, v *config.Tool) { checkTool(&p, name, v) })
	forEachSorted(objects.Services, func(name string, v *config.Service) { checkService(&p, name, v, objects) })
	forEachSorted(objects.Teams, func(name string, v *config.Team) {
		p.require(v.MaxBudgetTokens > 0, "team %q: max_budget_tokens must be positive", name)
		p.require(v.MaxOpenPrograms > 0, "team %q: max_open_programs must be positive", name)
	})
	return p
}

func forEachSorted[T any](m map[string]*T, fn func(string, *T)) {
	for _, name := range slices.Sorted(maps.Keys(m)) {
		fn(name, m[name])
	}
}

func checkNames[T any](p *problems, kind string, m map[string]*T) {
	forEachSorted(m, func(name string, _ *T) {
		p.require(namePattern.MatchString(name), "%s %q: a name has 1 to 64 letters, digits, '.', '_' and '-', and begins with a letter or a digit", kind, name)
	})
}

func checkPool(p *problems, name string, pool *config.Pool) {
	switch pool.Kind {
	case "engine":
		p.require(pool.Model != "", "pool %q: an engine pool needs a model", name)
	case "service":
		p.require(pool.Model == "" && pool.Version == "" && pool.Role == "" && len(pool.Adapters) == 0,
			"pool %q: a service pool has no model, version, adapters or role", name)
	default:
		p.require(false, "pool %q: kind %q is neither \"engine\" nor \"service\"", name, pool.Kind)
	}
	p.require(pool.MaxRunning >= 1 && pool.MaxRunning <= MaxRunningPerWorker, "pool %q: max_running %d is not between 1 and %d", name, pool.MaxRunning, MaxRunningPerWorker)
	p.require(pool.CacheTokens >= 0, "pool %q: cache_tokens is negative", name)
	p.require(!slices.Contains(pool.Adapters, ""), "pool %q: an adapter has no name", name)
	checkDuplicates(p, fmt.Sprintf("pool %q: adapter", name), pool.Adapters)
}

func checkAgent(p *problems, name string, agent *config.Agent, objects config.Objects) {
	pool, ok := objects.Pools[agent.Pool]
	p.require(ok, "agent %q: pool %q does not exist", name, agent.Pool)
	p.require(!ok || pool.Kind == "engine", "agent %q: pool %q is not an engine pool", name, agent.Pool)
	p.require(agent.Class == sched.ClassUrgent || agent.Class == sched.ClassInteractive || agent.Class == sched.ClassBatch,
		"agent %q: class %q is not \"urgent\", \"interactive\" or \"batch\"", name, agent.Class)
	p.require(len(agent.SystemPrompt) <= MaxSystemPromptBytes, "agent %q: system_prompt is longer than %d bytes", name, MaxSystemPromptBytes)
	p.require(agent.MaxTurns >= 0 && agent.MaxTurns <= MaxTurnsPerProgram, "agent %q: max_turns %d is not between 0 and %d", name, agent.MaxTurns, MaxTurnsPerProgram)
	p.require(agent.MaxTokens >= 1 && agent.MaxTokens <= MaxTokensPerCall, "agent %q: max_tokens %d is not between 1 and %d", name, agent.MaxTokens, MaxTokensPerCall)
	checkReferences(p, name, "tool", agent.Tools, objects.Tools)
	checkReferences(p, name, "agent", agent.Agents, objects.Agents)
	checkReferences(p, name, "service", agent.Services, objects.Services)
}

func checkReferences[T any](p *problems, agent, kind string, names []string, objects map[string]*T) {
	for _, n := range names {
		p.require(objects[n] != nil, "agent %q: %s %q does not exist", agent, kind, n)
	}
	checkDuplicates(p, fmt.Sprintf("agent %q: %s", agent, kind), names)
}

func checkDuplicates(p *problems, listName string, names []string) {
	sorted := slices.Clone(names)
	slices.SortFunc(sorted, cmp.Compare[string])
	for i := 1; i < len(sorted); i++ {
		p.require(sorted[i] != sorted[i-1], "%s %q is listed twice", listName, sorted[i])
	}
}

func checkTool(p *problems, name string, tool *config.Tool) {
	p.require(validAddress(tool.Address), "tool %q: address %q is not host:port", name, tool.Address)
	checkCostAndTimeLimit(p, fmt.Sprintf("tool %q", name), tool.CostTokens, tool.TimeLimitMS)
}

func checkService(p *problems, name string, service *config.Service, objects config.Objects) {
	pool, ok := objects.Pools[service.Pool]
	p.require(ok, "service %q: pool %q does not exist", name, service.Pool)
	p.require(!ok || pool.Kind == "service", "service %q: pool %q is not a service pool", name, service.Pool)
	for _, path := range service.IdempotentPaths {
		p.require(strings.HasPrefix(path, "/"), "service %q: path %q does not begin with /", name, path)
	}
	checkCostAndTimeLimit(p, fmt.Sprintf("service %q", name), service.CostTokens, service.TimeLimitMS)
}

func checkCostAndTimeLimit(p *problems, object string, cost int64, limit config.DurationMS) {
	p.require(cost >= 0, "%s: cost_tokens is negative", object)
	p.require(limit > 0 && limit.Duration() <= MaxTimeLimit, "%s: time_limit_ms %d is not between 1 and %d", object, limit, MaxTimeLimit.Milliseconds())
}

func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	return err == nil && host != "" && port != ""
}
