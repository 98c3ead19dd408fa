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

// call is one API call sent by the script, with the answer that its caller received.
type call struct {
	program        string
	request        api.Call
	cancel         context.CancelFunc
	receivedTokens atomic.Int64 // received on the stream so far
	done           chan struct{}

	// Set before done is closed.
	answer       api.CallAnswer
	streamedText string
	err          error
}

// address returns the HTTP address of the host named via or, if via is empty, of the first host that the lookup
// returns for the program.
func (s *scenario) address(ctx context.Context, via, program string) (string, error) {
	if via != "" {
		h, err := s.cluster.Host(via)
		if err != nil {
			return "", err
		}
		return h.HTTPAddress, nil
	}
	a, err := s.cluster.LookupHosts(ctx, nil, program)
	if err != nil {
		return "", err
	}
	return a.Hosts[0].Address, nil
}

func cmdWhich(s *scenario, ts *testscript.TestScript, _ bool, args []string) error {
	var opts struct {
		Via string `long:"via"`
		As  string `long:"as" default:"HOST"`
	}
	words, err := parseArgs(args, &opts, 0, 1)
	if err != nil {
		return err
	}
	var via *testbed.Host
	if opts.Via != "" {
		if via, err = s.cluster.Host(opts.Via); err != nil {
			return err
		}
	}
	a, err := s.cluster.LookupHosts(s.ctx, via, strings.Join(words, ""))
	if err != nil {
		return err
	}
	ts.Logf("%s: %+v", opts.As, a.Hosts)
	ts.Setenv(opts.As, string(a.Hosts[0].Name))
	return nil
}

func cmdOpen(s *scenario, ts *testscript.TestScript, neg bool, args []string) error {
	var opts struct {
		Via      string `long:"via"`
		As       string `long:"as" default:"P"`
		Team     string `long:"team"`
		Budget   int64  `long:"budget" default:"100000"`
		Deadline int64  `long:"deadline-ms"`
		Parent   string `long:"parent"`
	}
	words, err := parseArgs(args, &opts, 1, 1)
	if err != nil {
		return err
	}
	if opts.Team == "" {
		opts.Team = map[string]string{"tobyl": "bench-1", "tallowcreek": "haulage"}[s.cluster.Options.Deployment.Name]
	}
	id, err := s.openProgram(s.ctx, opts.Via, api.OpenProgram{
		Team: opts.Team, Agent: words[0], BudgetTokens: opts.Budget, DeadlineMS: opts.Deadline, Parent: programID(opts.Parent),
	})
	if err == nil {
		ts.Setenv(opts.As, id)
		ts.Logf("%s=%s", opts.As, id)
	}
	return applyNegation(neg, err)
}

func (s *scenario) openProgram(ctx context.Context, via string, request api.OpenProgram) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	address, err := s.address(ctx, via, "")
	if err != nil {
		return "", err
	}
	var opened api.ProgramOpened
	if err := s.cluster.Do(ctx, address, http.MethodPost, "/v1/programs", request, &opened); err != nil {
		return "", err
	}
	s.mu.Lock()
	s.agents[string(opened.ID)] = request.Agent
	s.mu.Unlock()
	return string(opened.ID), nil
}

func cmdCall(s *scenario, ts *testscript.TestScript, neg bool, args []string) error {
	var opts struct {
		Via    string `long:"via"`
		Label  string `long:"label"`
		Seq    int    `long:"seq"`
		Max    int    `long:"max-tokens"`
		Stream bool   `long:"stream"`
		Retry  bool   `long:"retry"`
		BG     bool   `long:"bg"`
	}
	words, err := parseArgs(args, &opts, 4, -1)
	if err != nil {
		return err
	}
	request, err := parseCall(words[1], words[2], words[3:])
	if err != nil {
		return err
	}
	request.Seq, request.Stream = opts.Seq, opts.Stream
	if request.Model != nil {
		request.Model.MaxTokens = opts.Max
	}
	if opts.Label == "" {
		opts.Label = request.Key
	}
	c := s.startCall(words[0], opts.Via, opts.Retry, request)
	s.mu.Lock()
	s.calls[opts.Label] = c
	s.mu.Unlock()
	if opts.BG {
		return nil
	}
	<-c.done
	return applyNegation(neg, c.err)
}

// parseCall builds a call from the arguments after the program: its key, its kind and the arguments of that kind.
func parseCall(key, kind string, words []string) (api.Call, error) {
	c := api.Call{Key: key, Kind: api.CallKind(kind)}
	errInvalid := fmt.Errorf("invalid arguments of %s call %q: %q", kind, key, words)
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
			return c, errInvalid
		}
		c.Agent = &api.AgentCall{Name: words[0], BudgetTokens: budget, Prompt: words[2]}
	default:
		return c, errInvalid
	}
	return c, nil
}

// startCall sends a call in the background. With retry, it is sent again under its key after each retryable
// error.
func (s *scenario) startCall(program, via string, retry bool, request api.Call) *call {
	ctx, cancel := context.WithTimeout(s.ctx, requestTimeout)
	c := &call{program: program, request: request, cancel: cancel, done: make(chan struct{})}
	s.background.Go(func() {
		defer close(c.done)
		defer cancel()
		if retry {
			c.answer, c.err = s.cluster.CallWithRetry(ctx, program, request)
			return
		}
		var address string
		if address, c.err = s.address(ctx, via, program); c.err != nil {
			return
		}
		if request.Stream {
			c.streamedText, c.answer, c.err = s.cluster.Stream(ctx, address, program, request, func(p api.Piece) {
				c.receivedTokens.Add(int64(len(strings.Fields(p.Text))))
			})
			return
		}
		c.err = s.cluster.Do(ctx, address, http.MethodPost, "/v1/programs/"+program+"/calls", request, &c.answer)
	})
	return c
}

func (s *scenario) callByLabel(label string) (*call, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.calls[label]; c != nil {
		return c, nil
	}
	return nil, fmt.Errorf("no call with label %q", label)
}

// cmdAwait waits until calls or jobs in the background have ended.
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
			return fmt.Errorf("%q has not ended within %v", label, 2*requestTimeout)
		}
		if b := s.jobs[label]; b != nil && b.err != nil {
			return b.err
		}
	}
	return nil
}

// cmdHangUp closes the caller's connection; the call continues at its home.
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
	var opts struct {
		Via string `long:"via"`
	}
	words, err := parseArgs(args, &opts, 1, 1)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(s.ctx, requestTimeout)
	defer cancel()
	address, err := s.address(ctx, opts.Via, words[0])
	if err != nil {
		return err
	}
	method, path := http.MethodPost, "/v1/programs/"+words[0]+"/end"
	if args[0] == "cancel" {
		method, path = http.MethodDelete, "/v1/programs/"+words[0]
	}
	return applyNegation(neg, s.cluster.Do(ctx, address, method, path, nil, nil))
}
