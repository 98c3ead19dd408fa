package scenarios

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/internal/testbed"
)

// pollTimeout bounds one read request to a host, which may be frozen.
const pollTimeout = 3 * time.Second

func programID(s string) ids.Program { return ids.Program(s) }

type condition struct {
	minArgs int
	check   func(s *scenario, args []string) error
}

var conditions = map[string]condition{
	"answered":      {1, checkAnswered},
	"failed":        {3, checkFailed},
	"same":          {2, checkSameAnswer},
	"received":      {2, checkReceivedTokens},
	"durable":       {2, checkDurable},
	"outcome":       {3, checkOutcome},
	"executions":    {2, checkExecutions},
	"history":       {1, checkHistory},
	"status":        {2, checkStatus},
	"turns":         {2, checkTurnCount},
	"backend-state": {3, checkBackendState},
	"runs":          {1, checkHostProcesses},
	"ticket":        {3, checkTicket},
	"spent-at-most": {1, checkSpentAtMost},
	"cache":         {2, checkCache},
	"in-force":      {2, checkInForce},
	"home":          {2, checkHome},
	"member":        {2, checkMember},
	"engine-order":  {2, checkEngineOrder},
	"requests":      {2, checkLeavingRequests},
	"silent-links":  {2, checkSilentLinks},
	"running":       {1, checkRunningRequests},

	"pool":            {3, checkPool},
	"manager":         {2, checkManager},
	"loads":           {2, checkModelLoads},
	"holders":         {1, checkHolderCount},
	"holders-in-turn": {0, checkFencingOrder},
	"orders-to-idle":  {0, checkOrdersToIdle},
	"loading-refused": {1, checkLoadingRefused},
	"aborted":         {1, checkAborted},
}

func (s *scenario) expect(args []string) error {
	if len(args) == 0 {
		return errors.New("no condition")
	}
	c, ok := conditions[args[0]]
	if !ok || len(args)-1 < c.minArgs {
		return fmt.Errorf("unknown condition %q or too few arguments (%d); the conditions are %q", args[0], len(args)-1, slices.Sorted(maps.Keys(conditions)))
	}
	return c.check(s, args[1:])
}

// endedCall returns the call with the label, or an error if it has not ended.
func (s *scenario) endedCall(label string) (*call, error) {
	c, err := s.callByLabel(label)
	if err != nil {
		return nil, err
	}
	select {
	case <-c.done:
		return c, nil
	default:
		return nil, fmt.Errorf("call %q has not ended", label)
	}
}

// checkAnswered LABEL...: each call is in the state "done", and its streamed text, if any, equals its answer.
func checkAnswered(s *scenario, args []string) error {
	for _, label := range args {
		c, err := s.endedCall(label)
		if err != nil {
			return err
		}
		if c.err != nil {
			return fmt.Errorf("call %q: %w", label, c.err)
		}
		if c.answer.State != "done" {
			return fmt.Errorf("call %q is in state %q", label, c.answer.State)
		}
		if c.request.Stream && strings.TrimSpace(c.streamedText) != strings.TrimSpace(c.answer.Text) {
			return fmt.Errorf("call %q streamed %q, but its answer is %q", label, c.streamedText, c.answer.Text)
		}
	}
	return nil
}

// checkFailed LABEL CODE[|CODE] OUTCOME: the call ended with one of the error codes and with the outcome.
func checkFailed(s *scenario, args []string) error {
	c, err := s.endedCall(args[0])
	if err != nil {
		return err
	}
	var f *fault.Error
	if !errors.As(c.err, &f) {
		return fmt.Errorf("call %q ended without an error of the API: %w", args[0], c.err)
	}
	if !slices.Contains(strings.Split(args[1], "|"), string(f.Code)) || string(f.Outcome) != args[2] {
		return fmt.Errorf("call %q ended with code %s and outcome %q: %w", args[0], f.Code, f.Outcome, f)
	}
	return nil
}

// checkSameAnswer LABEL...: all calls were answered with the same text.
func checkSameAnswer(s *scenario, args []string) error {
	if err := checkAnswered(s, args); err != nil {
		return err
	}
	first, _ := s.callByLabel(args[0])
	for _, label := range args[1:] {
		if c, _ := s.callByLabel(label); c.answer.Text != first.answer.Text {
			return fmt.Errorf("call %q was answered %q, but call %q was answered %q", args[0], first.answer.Text, label, c.answer.Text)
		}
	}
	return nil
}

// checkDurable LABEL true|false
func checkDurable(s *scenario, args []string) error {
	c, err := s.endedCall(args[0])
	if err == nil && strconv.FormatBool(c.answer.Durable) != args[1] {
		return fmt.Errorf("call %q was answered with durable: %v", args[0], c.answer.Durable)
	}
	return err
}

// checkReceivedTokens LABEL N: the caller has received at least N tokens on the stream.
func checkReceivedTokens(s *scenario, args []string) error {
	c, err := s.callByLabel(args[0])
	if err != nil {
		return err
	}
	n, err := strconv.ParseInt(args[1], 10, 64)
	if got := c.receivedTokens.Load(); err == nil && got < n {
		return fmt.Errorf("call %q has received %d tokens", args[0], got)
	}
	return err
}

// readProgram sends a read request about a program to the first host that the lookup returns for it.
func (s *scenario) readProgram(program, path string, out any) error {
	ctx, cancel := context.WithTimeout(s.ctx, pollTimeout)
	defer cancel()
	a, err := s.cluster.LookupHosts(ctx, nil, program)
	if err != nil {
		return err
	}
	return s.cluster.Do(ctx, a.Hosts[0].Address, http.MethodGet, "/v1/programs/"+program+path, nil, out)
}

// checkOutcome PROGRAM KEY STATE: GET /v1/programs/{id}/calls/{key} returns the state.
func checkOutcome(s *scenario, args []string) error {
	var a api.CallAnswer
	err := s.readProgram(args[0], "/calls/"+url.PathEscape(args[1]), &a)
	if a.State == "" && err != nil {
		return err
	}
	if a.State != args[2] {
		return fmt.Errorf("call %q is in state %q: %w", args[1], a.State, err)
	}
	return nil
}

// checkExecutions PROGRAM/KEY N: tools, services and engines together executed the request N times; "N+" is at
// least N.
func checkExecutions(s *scenario, args []string) error {
	executions, err := s.cluster.Executions(args[0])
	if err != nil {
		return err
	}
	var total int64
	for _, n := range executions {
		total += n
	}
	number, atLeast := strings.CutSuffix(args[1], "+")
	want, err := strconv.ParseInt(number, 10, 64)
	if err != nil {
		return err
	}
	if total < want || (total > want && !atLeast) {
		return fmt.Errorf("%s was executed %d times: %v", args[0], total, executions)
	}
	return nil
}

// checkHistory PROGRAM KEY...: the turns have exactly these keys, each model turn has the engine's answer to the
// turns before it, and the history contains every durable answer that a caller received.
func checkHistory(s *scenario, args []string) error {
	h, err := s.checkedHistory(args[0])
	if err != nil {
		return err
	}
	var keys []string
	texts := map[string]string{}
	for _, t := range h.Turns {
		keys = append(keys, t.Key)
		texts[t.Key] = t.Answer
	}
	if !slices.Equal(keys, args[1:]) {
		return fmt.Errorf("the history of program %s has the keys %q", args[0], keys)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for label, c := range s.calls {
		select {
		case <-c.done:
		default:
			continue
		}
		if c.program != args[0] || c.err != nil || !c.answer.Durable {
			continue
		}
		if text, ok := texts[c.request.Key]; !ok || text != c.answer.Text {
			return fmt.Errorf("call %q was answered %q, but the history has %q", label, c.answer.Text, text)
		}
	}
	return nil
}

func (s *scenario) checkedHistory(program string) (api.History, error) {
	var h api.History
	if err := s.readProgram(program, "/history", &h); err != nil {
		return h, err
	}
	s.mu.Lock()
	agent := s.ticket.Objects.Agents[s.agents[program]]
	s.mu.Unlock()
	if agent == nil {
		return h, fmt.Errorf("no agent recorded for program %s", program)
	}
	return h, testbed.CheckHistory(h, agent.SystemPrompt, agent.MaxTokens)
}

// checkStatus PROGRAM STATE
func checkStatus(s *scenario, args []string) error {
	var st api.ProgramStatus
	if err := s.readProgram(args[0], "", &st); err != nil {
		return err
	}
	if st.State != args[1] {
		return fmt.Errorf("program %s is in state %q", args[0], st.State)
	}
	return nil
}

// checkTurnCount PROGRAM N
func checkTurnCount(s *scenario, args []string) error {
	var h api.History
	if err := s.readProgram(args[0], "/history", &h); err != nil {
		return err
	}
	if n := len(h.Turns); strconv.Itoa(n) != args[1] {
		return fmt.Errorf("program %s has %d turns", args[0], n)
	}
	return nil
}

// checkBackendState NAME STATE[@ADDRESS] HOST...: each host lists the backend server in the state, at ADDRESS or, if
// it is omitted, at the address of its process.
func checkBackendState(s *scenario, args []string) error {
	hosts, err := s.hostsByName(args[2:])
	if err != nil {
		return err
	}
	standins, err := s.standinsByName(args[0])
	if err != nil {
		return err
	}
	state, address, hasAddress := strings.Cut(args[1], "@")
	if !hasAddress {
		address = standins[0].Address
	}
	for _, h := range hosts {
		ctx, cancel := context.WithTimeout(s.ctx, pollTimeout)
		defer cancel()
		var a api.Backends
		if err := s.cluster.Do(ctx, h.HTTPAddress, http.MethodGet, "/v1/backends", nil, &a); err != nil {
			return err
		}
		i := slices.IndexFunc(a.Backends, func(b api.Backend) bool { return b.Name == args[0] })
		if i < 0 || a.Backends[i].State != state || a.Backends[i].Address != address {
			return fmt.Errorf("host %s does not list backend server %s in state %s at %s", h.Name, args[0], state, address)
		}
	}
	return nil
}

// checkHostProcesses HOST...: the processes of the hosts are running.
func checkHostProcesses(s *scenario, args []string) error {
	hosts, err := s.hostsByName(args)
	if err != nil {
		return err
	}
	for _, h := range hosts {
		if !slices.Contains(s.cluster.RunningProcesses(), h.Name) {
			return fmt.Errorf("the process of host %s has ended", h.Name)
		}
	}
	return nil
}

// checkTicket N AUTHOR HOST...: each host returns ticket N with this author.
func checkTicket(s *scenario, args []string) error {
	hosts, err := s.hostsByName(args[2:])
	if err != nil {
		return err
	}
	for _, h := range hosts {
		ctx, cancel := context.WithTimeout(s.ctx, pollTimeout)
		defer cancel()
		var t config.Ticket
		if err := s.cluster.Do(ctx, h.HTTPAddress, http.MethodGet, "/v1/tickets/"+args[0], nil, &t); err != nil {
			return err
		}
		if t.Author != args[1] {
			return fmt.Errorf("host %s has ticket %s with author %q", h.Name, args[0], t.Author)
		}
	}
	return nil
}

// checkSpentAtMost N: uncached prompt tokens and generated tokens of all engines together are at most N.
func checkSpentAtMost(s *scenario, args []string) error {
	limit, err := strconv.ParseInt(args[0], 10, 64)
	if err != nil {
		return err
	}
	engines, err := s.cluster.EngineCounters()
	if err != nil {
		return err
	}
	var spent int64
	for _, e := range engines {
		spent += e.PromptTokens - e.CachedTokens + e.GeneratedTokens
	}
	if spent > limit {
		return fmt.Errorf("the engines spent %d tokens", spent)
	}
	return nil
}

// checkCache PROGRAM held|none: the engines have some or no tokens of the program cached.
func checkCache(s *scenario, args []string) error {
	cached, err := s.cluster.CacheUsedTokens()
	if err != nil {
		return err
	}
	if n := cached[args[0]]; (n > 0) != (args[1] == "held") {
		return fmt.Errorf("the engines have %d tokens of program %s cached", n, args[0])
	}
	return nil
}

// checkInForce N HOST...: each host reports ticket N as in force.
func checkInForce(s *scenario, args []string) error {
	hosts, err := s.hostsByName(args[1:])
	if err != nil {
		return err
	}
	n, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return err
	}
	for _, h := range hosts {
		if err := s.cluster.CheckTicketInForce(s.ctx, h, n); err != nil {
			return err
		}
	}
	return nil
}

// checkHome PROGRAM HOST[|HOST]: the lookup, sent to any host, returns one of the hosts first.
func checkHome(s *scenario, args []string) error {
	hosts, err := s.hostsByName(strings.Split(args[1], "|"))
	if err != nil {
		return err
	}
	a, err := s.cluster.LookupHosts(s.ctx, nil, args[0])
	if err != nil {
		return err
	}
	if home := string(a.Hosts[0].Name); !slices.Contains(hostNames(hosts), home) {
		return fmt.Errorf("the home of program %s is %s", args[0], home)
	}
	return nil
}

// checkMember HOST STATE[|STATE] VIA...: each host VIA lists HOST in one of the states.
func checkMember(s *scenario, args []string) error {
	member, err := s.cluster.Host(args[0])
	if err != nil {
		return err
	}
	via, err := s.hostsByName(args[2:])
	if err != nil {
		return err
	}
	for _, h := range via {
		members, err := s.cluster.Members(s.ctx, h)
		if err != nil {
			return err
		}
		i := slices.IndexFunc(members, func(m api.Member) bool { return string(m.Name) == member.Name })
		if i < 0 || !slices.Contains(strings.Split(args[1], "|"), members[i].State) {
			return fmt.Errorf("host %s lists the members %+v", h.Name, members)
		}
	}
	return nil
}

// checkEngineOrder PROGRAM KEY...: the engines ran exactly these model calls of the program, and each engine ran
// those that it received in this order.
func checkEngineOrder(s *scenario, args []string) error {
	engines, err := s.cluster.EngineCounters()
	if err != nil {
		return err
	}
	position := map[string]int{}
	for i, key := range args[1:] {
		position[args[0]+"/"+key] = i + 1
	}
	ran := 0
	for _, e := range engines {
		last := 0
		for _, id := range e.AdmissionOrder[args[0]] {
			if position[id] <= last {
				return fmt.Errorf("engine %s ran the model calls %q", e.Name, e.AdmissionOrder[args[0]])
			}
			last = position[id]
			ran++
		}
	}
	if ran != len(args)-1 {
		return fmt.Errorf("the engines ran %d model calls of program %s", ran, args[0])
	}
	return nil
}

// checkLeavingRequests WORKER N: N requests reached the worker while it was leaving.
func checkLeavingRequests(s *scenario, args []string) error {
	engines, err := s.cluster.EngineCounters()
	if err != nil {
		return err
	}
	for i, e := range engines {
		if s.cluster.Engines[i].Name == args[0] && strconv.FormatInt(e.RequestsWhileLeaving, 10) != args[1] {
			return fmt.Errorf("%d requests reached worker %s while it was leaving", e.RequestsWhileLeaving, args[0])
		}
	}
	return nil
}

// checkSilentLinks HOST N: the relay in front of the host has N silent connections.
func checkSilentLinks(s *scenario, args []string) error {
	h, err := s.cluster.Host(args[0])
	if err != nil {
		return err
	}
	state, err := s.cluster.LinkState(h)
	if err == nil && strconv.Itoa(state.SilentConnections) != args[1] {
		return fmt.Errorf("state of the relay in front of host %s: %+v", h.Name, state)
	}
	return err
}

// checkRunningRequests N: the engines are running N requests; "N+" is at least N.
func checkRunningRequests(s *scenario, args []string) error {
	engines, err := s.cluster.EngineCounters()
	if err != nil {
		return err
	}
	running := 0
	for _, e := range engines {
		running += e.Running
	}
	number, atLeast := strings.CutSuffix(args[0], "+")
	want, err := strconv.Atoi(number)
	if err == nil && (running < want || (running > want && !atLeast)) {
		return fmt.Errorf("the engines run %d requests", running)
	}
	return err
}
