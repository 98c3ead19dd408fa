package scenarios

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/internal/testbed"
)

// call is one request of one caller.
type call struct {
	program        string
	request        api.Call
	cancel         context.CancelFunc
	receivedTokens atomic.Int64 // that the stream has brought so far
	done           chan struct{}

	// Set before done is closed.
	answer       api.CallAnswer
	streamedText string
	err          error
}

// address returns the address of the host that a request goes through; without a name, it asks which host.
func (s *scenario) address(ctx context.Context, via, program string) (string, error) {
	if via != "" {
		h, err := s.bed.Host(via)
		if err != nil {
			return "", err
		}
		return h.HTTPAddress, nil
	}
	a, err := s.bed.LookupHosts(ctx, nil, program)
	if err != nil {
		return "", err
	}
	return a.Hosts[0].Address, nil
}

func cmdWhich(s *scenario, ts *testscript.TestScript, _ bool, args []string) error {
	var o struct {
		Via string `long:"via"`
		As  string `long:"as" default:"HOST"`
	}
	words, err := parseArgs(args, &o, 0, 1)
	if err != nil {
		return err
	}
	var via *testbed.Host
	if o.Via != "" {
		if via, err = s.bed.Host(o.Via); err != nil {
			return err
		}
	}
	a, err := s.bed.LookupHosts(s.ctx, via, strings.Join(words, ""))
	if err != nil {
		return err
	}
	ts.Logf("%s: %+v", o.As, a.Hosts)
	ts.Setenv(o.As, string(a.Hosts[0].Name))
	return nil
}

func cmdOpen(s *scenario, ts *testscript.TestScript, neg bool, args []string) error {
	var o struct {
		Via      string `long:"via"`
		As       string `long:"as" default:"P"`
		Team     string `long:"team"`
		Budget   int64  `long:"budget" default:"100000"`
		Deadline int64  `long:"deadline-ms"`
		Parent   string `long:"parent"`
	}
	words, err := parseArgs(args, &o, 1, 1)
	if err != nil {
		return err
	}
	if o.Team == "" {
		o.Team = map[string]string{"tobyl": "bench-1", "tallowcreek": "haulage"}[s.bed.Options.Deployment.Name]
	}
	id, err := s.openProgram(s.ctx, o.Via, api.OpenProgram{
		Team: o.Team, Agent: words[0], BudgetTokens: o.Budget, DeadlineMS: o.Deadline, Parent: programID(o.Parent),
	})
	if err == nil {
		ts.Setenv(o.As, id)
		ts.Logf("%s=%s", o.As, id)
	}
	return applyNegation(neg, err)
}

func (s *scenario) openProgram(ctx context.Context, via string, q api.OpenProgram) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	address, err := s.address(ctx, via, "")
	if err != nil {
		return "", err
	}
	var opened api.ProgramOpened
	if err := s.bed.Do(ctx, address, http.MethodPost, "/v1/programs", q, &opened); err != nil {
		return "", err
	}
	s.mu.Lock()
	s.agents[string(opened.ID)] = q.Agent
	s.mu.Unlock()
	return string(opened.ID), nil
}

func cmdCall(s *scenario, ts *testscript.TestScript, neg bool, args []string) error {
	var o struct {
		Via    string `long:"via"`
		Label  string `long:"label"`
		Seq    int    `long:"seq"`
		Max    int    `long:"max-tokens"`
		Stream bool   `long:"stream"`
		Retry  bool   `long:"retry"`
		BG     bool   `long:"bg"`
	}
	words, err := parseArgs(args, &o, 4, -1)
	if err != nil {
		return err
	}
	request, err := parseCall(words[1], words[2], words[3:])
	if err != nil {
		return err
	}
	request.Seq, request.Stream = o.Seq, o.Stream
	if request.Model != nil {
		request.Model.MaxTokens = o.Max
	}
	if o.Label == "" {
		o.Label = request.Key
	}
	c := s.startCall(words[0], o.Via, o.Retry, request)
	s.mu.Lock()
	s.calls[o.Label] = c
	s.mu.Unlock()
	if o.BG {
		return nil
	}
	<-c.done
	return applyNegation(neg, c.err)
}

// parseCall makes a call of the words after the program: key, kind, and what the kind needs.
func parseCall(key, kind string, words []string) (api.Call, error) {
	c := api.Call{Key: key, Kind: api.CallKind(kind)}
	wrong := fmt.Errorf("wrong arguments of a %s call: %q", kind, words)
	body := func(i int) json.RawMessage {
		if len(words) > i {
			return json.RawMessage(words[i])
		}
		return json.RawMessage("{}")
	}
	switch {
	case c.Kind == api.CallModel && len(words) == 1:
		c.Model = &api.ModelCall{Prompt: words[0]}
	case c.Kind == api.CallTool && len(words) <= 2:
		c.Tool = &api.ToolCall{Name: words[0], Args: body(1)}
	case c.Kind == api.CallService && len(words) >= 3 && len(words) <= 4:
		c.Service = &api.ServiceCall{Name: words[0], Method: words[1], Path: words[2], Body: body(3)}
	case c.Kind == api.CallAgent && len(words) == 3:
		budget, err := strconv.ParseInt(words[1], 10, 64)
		if err != nil {
			return c, wrong
		}
		c.Agent = &api.AgentCall{Name: words[0], BudgetTokens: budget, Prompt: words[2]}
	default:
		return c, wrong
	}
	return c, nil
}

// startCall sends a call in the background.
func (s *scenario) startCall(program, via string, retry bool, request api.Call) *call {
	ctx, cancel := context.WithTimeout(s.ctx, requestTimeout)
	c := &call{program: program, request: request, cancel: cancel, done: make(chan struct{})}
	s.background.Go(func() {
		defer close(c.done)
		defer cancel()
		if retry {
			c.answer, c.err = s.bed.CallWithRetry(ctx, program, request)
			return
		}
		var address string
		if address, c.err = s.address(ctx, via, program); c.err != nil {
			return
		}
		if request.Stream {
			c.streamedText, c.answer, c.err = s.bed.Stream(ctx, address, program, request, func(p api.Piece) {
				c.receivedTokens.Add(int64(len(strings.Fields(p.Text))))
			})
			return
		}
		c.err = s.bed.Do(ctx, address, http.MethodPost, "/v1/programs/"+program+"/calls", request, &c.answer)
	})
	return c
}

func (s *scenario) callByLabel(label string) (*call, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.calls[label]; c != nil {
		return c, nil
	}
	return nil, fmt.Errorf("no call %q", label)
}

// cmdAwait waits for the ends of calls or loads in the background.
func cmdAwait(s *scenario, _ *testscript.TestScript, _ bool, args []string) error {
	for _, label := range args[1:] {
		done := (chan struct{})(nil)
		if b := s.jobs[label]; b != nil {
			done = b.done
		} else if c, err := s.callByLabel(label); err != nil {
			return err
		} else {
			done = c.done
		}
		select {
		case <-done:
		case <-time.After(2 * requestTimeout):
			return fmt.Errorf("%q has not ended", label)
		}
		if b := s.jobs[label]; b != nil && b.err != nil {
			return b.err
		}
	}
	return nil
}

// cmdHangUp ends the caller's connection; the call goes on.
func cmdHangUp(s *scenario, _ *testscript.TestScript, _ bool, args []string) error {
	c, err := s.callByLabel(args[1])
	if err != nil {
		return err
	}
	c.cancel()
	<-c.done
	return nil
}

func cmdEnd(s *scenario, ts *testscript.TestScript, neg bool, args []string) error {
	var o struct {
		Via string `long:"via"`
	}
	words, err := parseArgs(args, &o, 1, 1)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(s.ctx, requestTimeout)
	defer cancel()
	address, err := s.address(ctx, o.Via, words[0])
	if err != nil {
		return err
	}
	method, path := http.MethodPost, "/v1/programs/"+words[0]+"/end"
	if args[0] == "cancel" {
		method, path = http.MethodDelete, "/v1/programs/"+words[0]
	}
	return applyNegation(neg, s.bed.Do(ctx, address, method, path, nil, nil))
}
