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

// pollTimeout bounds one look at a host, which may be frozen.
const pollTimeout = 3 * time.Second

func programID(s string) ids.Program { return ids.Program(s) }

type condition struct {
	minArgs int // at least
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
		return fmt.Errorf("no condition %q with %d arguments; there are %q", args[0], len(args)-1, slices.Sorted(maps.Keys(conditions)))
	}
	return c.check(s, args[1:])
}

// endedCall returns the call if it has ended.
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

// checkAnswered: each LABEL has the outcome "done", and its stream, if any, brought exactly the answer.
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
			return fmt.Errorf("call %q streamed %q and was answered %q", label, c.streamedText, c.answer.Text)
		}
	}
	return nil
}

// checkFailed LABEL CODE[|CODE] OUTCOME
func checkFailed(s *scenario, args []string) error {
	c, err := s.endedCall(args[0])
	if err != nil {
		return err
	}
	var f *fault.Error
	if !errors.As(c.err, &f) {
		return fmt.Errorf("call %q ended with %w", args[0], c.err)
	}
	if !slices.Contains(strings.Split(args[1], "|"), string(f.Code)) || string(f.Outcome) != args[2] {
		return fmt.Errorf("call %q ended with code %s and outcome %q: %w", args[0], f.Code, f.Outcome, f)
	}
	return nil
}

// checkSameAnswer: all LABELs were answered with the same text.
func checkSameAnswer(s *scenario, args []string) error {
	if err := checkAnswered(s, args); err != nil {
		return err
	}
	first, _ := s.callByLabel(args[0])
	for _, label := range args[1:] {
		if c, _ := s.callByLabel(label); c.answer.Text != first.answer.Text {
			return fmt.Errorf("call %q was answered %q, call %q %q", args[0], first.answer.Text, label, c.answer.Text)
		}
	}
	return nil
}

// durable LABEL true|false
func checkDurable(s *scenario, args []string) error {
	c, err := s.endedCall(args[0])
	if err == nil && strconv.FormatBool(c.answer.Durable) != args[1] {
		return fmt.Errorf("call %q was answered with durable: %v", args[0], c.answer.Durable)
	}
	return err
}

// checkReceivedTokens LABEL N: the stream has brought at least N tokens.
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

// readProgram asks the host that "which host" names, or any alternate, for something about a program.
func (s *scenario) readProgram(program, path string, out any) error {
	ctx, cancel := context.WithTimeout(s.ctx, pollTimeout)
	defer cancel()
	a, err := s.bed.LookupHosts(ctx, nil, program)
	if err != nil {
		return err
	}
	return s.bed.Do(ctx, a.Hosts[0].Address, http.MethodGet, "/v1/programs/"+program+path, nil, out)
}

// outcome PROGRAM KEY STATE, as GET /v1/programs/{id}/calls/{key} shows it.
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

// checkExecutions PROGRAM/KEY N: the request ran N times, over all tools, services and engines; "N+" is at least N.
func checkExecutions(s *scenario, args []string) error {
	got, err := s.bed.Executions(args[0])
	if err != nil {
		return err
	}
	var n int64
	for _, v := range got {
		n += v
	}
	least, atLeast := strings.CutSuffix(args[1], "+")
	want, err := strconv.ParseInt(least, 10, 64)
	if err != nil {
		return err
	}
	if n < want || (n > want && !atLeast) {
		return fmt.Errorf("%s ran %d times: %v", args[0], n, got)
	}
	return nil
}

// history PROGRAM KEY...: the turns have exactly these keys, each model turn has the engine's answer to the
// turns before it, and every durable answer that a caller got is in it.
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
		return fmt.Errorf("the history of %s has the keys %q", args[0], keys)
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
			return fmt.Errorf("call %q was answered %q, the history has %q", label, c.answer.Text, text)
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
		return h, fmt.Errorf("the agent of program %s is not known", program)
	}
	return h, testbed.CheckHistory(h, agent.SystemPrompt, agent.MaxTokens)
}

// status PROGRAM STATE
func checkStatus(s *scenario, args []string) error {
	var st api.ProgramStatus
	if err := s.readProgram(args[0], "", &st); err != nil {
		return err
	}
	if st.State != args[1] {
		return fmt.Errorf("program %s is %q", args[0], st.State)
	}
	return nil
}

// turns PROGRAM N
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

// backend-state NAME STATE[@ADDRESS] HOST...: each host shows the backend server in the state, at the
// address or else at its real one.
func checkBackendState(s *scenario, args []string) error {
	hosts, err := s.hostsByName(args[2:])
	if err != nil {
		return err
	}
	of, err := s.standinsByName(args[0])
	if err != nil {
		return err
	}
	state, address, moved := strings.Cut(args[1], "@")
	if !moved {
		address = of[0].Address
	}
	for _, h := range hosts {
		ctx, cancel := context.WithTimeout(s.ctx, pollTimeout)
		defer cancel()
		var a api.Backends
		if err := s.bed.Do(ctx, h.HTTPAddress, http.MethodGet, "/v1/backends", nil, &a); err != nil {
			return err
		}
		i := slices.IndexFunc(a.Backends, func(b api.Backend) bool { return b.Name == args[0] })
		if i < 0 || a.Backends[i].State != state || a.Backends[i].Address != address {
			return fmt.Errorf("host %s does not show %s as %s at %s", h.Name, args[0], state, address)
		}
	}
	return nil
}

// checkHostProcesses HOST...: the processes of the hosts have not ended.
func checkHostProcesses(s *scenario, args []string) error {
	hosts, err := s.hostsByName(args)
	if err != nil {
		return err
	}
	for _, h := range hosts {
		if !slices.Contains(s.bed.RunningProcesses(), h.Name) {
			return fmt.Errorf("host %s has ended", h.Name)
		}
	}
	return nil
}

// ticket N AUTHOR HOST...: each host shows ticket N with this author.
func checkTicket(s *scenario, args []string) error {
	hosts, err := s.hostsByName(args[2:])
	if err != nil {
		return err
	}
	for _, h := range hosts {
		ctx, cancel := context.WithTimeout(s.ctx, pollTimeout)
		defer cancel()
		var t config.Ticket
		if err := s.bed.Do(ctx, h.HTTPAddress, http.MethodGet, "/v1/tickets/"+args[0], nil, &t); err != nil {
			return err
		}
		if t.Author != args[1] {
			return fmt.Errorf("host %s has ticket %s of %q", h.Name, args[0], t.Author)
		}
	}
	return nil
}

// spent-at-most N: all engines together computed and generated no more than N tokens.
func checkSpentAtMost(s *scenario, args []string) error {
	limit, err := strconv.ParseInt(args[0], 10, 64)
	if err != nil {
		return err
	}
	engines, err := s.bed.EngineCounters()
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

// cache PROGRAM held|none
func checkCache(s *scenario, args []string) error {
	held, err := s.bed.CacheUsedTokens()
	if err != nil {
		return err
	}
	if n := held[args[0]]; (n > 0) != (args[1] == "held") {
		return fmt.Errorf("the engines hold %d tokens of cache of %s", n, args[0])
	}
	return nil
}

// in-force N HOST...: each host says of itself that ticket N is in force.
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
		if err := s.bed.CheckTicketInForce(s.ctx, h, n); err != nil {
			return err
		}
	}
	return nil
}

// home PROGRAM HOST|HOST: the first host that "which host" names, asked of any host.
func checkHome(s *scenario, args []string) error {
	hosts, err := s.hostsByName(strings.Split(args[1], "|"))
	if err != nil {
		return err
	}
	a, err := s.bed.LookupHosts(s.ctx, nil, args[0])
	if err != nil {
		return err
	}
	if home := string(a.Hosts[0].Name); !slices.Contains(hostNames(hosts), home) {
		return fmt.Errorf("the home of %s is %s", args[0], home)
	}
	return nil
}

// member HOST STATE [VIA...]: each host VIA, or every other one, sees HOST in the state.
func checkMember(s *scenario, args []string) error {
	of, err := s.bed.Host(args[0])
	if err != nil {
		return err
	}
	via, err := s.hostsByName(args[2:])
	if err != nil {
		return err
	}
	for _, h := range via {
		list, err := s.bed.Members(s.ctx, h)
		if err != nil {
			return err
		}
		i := slices.IndexFunc(list, func(m api.Member) bool { return string(m.Name) == of.Name })
		if i < 0 || !slices.Contains(strings.Split(args[1], "|"), list[i].State) {
			return fmt.Errorf("host %s sees %+v", h.Name, list)
		}
	}
	return nil
}

// engine-order PROGRAM KEY...: the engines ran exactly these model calls of the program, and each engine ran
// its part of them in this order.
func checkEngineOrder(s *scenario, args []string) error {
	engines, err := s.bed.EngineCounters()
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
				return fmt.Errorf("engine %s ran %q", e.Name, e.AdmissionOrder[args[0]])
			}
			last = position[id]
			ran++
		}
	}
	if ran != len(args)-1 {
		return fmt.Errorf("the engines ran %d model calls of %s", ran, args[0])
	}
	return nil
}

// checkLeavingRequests WORKER N: N requests reached the worker while it was leaving.
func checkLeavingRequests(s *scenario, args []string) error {
	engines, err := s.bed.EngineCounters()
	if err != nil {
		return err
	}
	for i, e := range engines {
		if s.bed.Engines[i].Name == args[0] && strconv.FormatInt(e.RequestsWhileLeaving, 10) != args[1] {
			return fmt.Errorf("%d requests reached %s while it was leaving", e.RequestsWhileLeaving, args[0])
		}
	}
	return nil
}

// silent-links HOST N: the relay in front of the host has N silent connections.
func checkSilentLinks(s *scenario, args []string) error {
	h, err := s.bed.Host(args[0])
	if err != nil {
		return err
	}
	state, err := s.bed.LinkState(h)
	if err == nil && strconv.Itoa(state.SilentConnections) != args[1] {
		return fmt.Errorf("relay of %s: %+v", h.Name, state)
	}
	return err
}

// checkRunningRequests N: the engines run N requests now; "N+" is at least N.
func checkRunningRequests(s *scenario, args []string) error {
	engines, err := s.bed.EngineCounters()
	if err != nil {
		return err
	}
	n := 0
	for _, e := range engines {
		n += e.Running
	}
	least, atLeast := strings.CutSuffix(args[0], "+")
	want, err := strconv.Atoi(least)
	if err == nil && (n < want || (n > want && !atLeast)) {
		return fmt.Errorf("the engines run %d requests", n)
	}
	return err
}
