package scenarios

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/internal/testbed"
)

// readTicket reads a ticket from a file of the script or, if file is empty, returns the deployment's example.
func (s *scenario) readTicket(ts *testscript.TestScript, file string) (config.Ticket, error) {
	if file == "" {
		return s.ticket, nil
	}
	return s.cluster.LoadTicket(ts.MkAbs(file))
}

func cmdTicket(s *scenario, ts *testscript.TestScript, neg bool, args []string) error {
	var opts struct {
		Via   string `long:"via" default:"a"`
		Code  string `long:"code"`
		BG    bool   `long:"bg"`
		Label string `long:"label" default:"ticket"`
	}
	words, err := parseArgs(args, &opts, 0, 1)
	if err != nil {
		return err
	}
	t, err := s.readTicket(ts, append(words, "")[0])
	if err != nil {
		return err
	}
	h, err := s.cluster.Host(opts.Via)
	if err != nil {
		return err
	}
	apply := func() error {
		err := s.cluster.ApplyTicket(s.ctx, h, t)
		var f *fault.Error
		if !neg || !errors.As(err, &f) {
			return applyNegation(neg, err)
		}
		if opts.Code != "" && !slices.Contains(strings.Split(opts.Code, "|"), string(f.Code)) {
			return fmt.Errorf("%w, expected code %s", err, opts.Code)
		}
		return nil
	}
	if !opts.BG {
		return apply()
	}
	s.runInBackground(opts.Label, apply)
	return nil
}

// cmdRaceTickets applies tickets concurrently, each through the host before it: HOST FILE HOST FILE ... Exactly one
// must be accepted; WINNER is set to its author.
func cmdRaceTickets(s *scenario, ts *testscript.TestScript, _ bool, args []string) error {
	words, err := parseArgs(args, &struct{}{}, 4, -1)
	if err != nil {
		return err
	}
	errs := make([]error, len(words)/2)
	authors := make([]string, len(words)/2)
	var wg sync.WaitGroup
	for i := range errs {
		h, err := s.cluster.Host(words[2*i])
		if err != nil {
			return err
		}
		t, err := s.readTicket(ts, words[2*i+1])
		if err != nil {
			return err
		}
		authors[i] = t.Author
		wg.Go(func() { errs[i] = s.cluster.ApplyTicket(s.ctx, h, t) })
	}
	wg.Wait()
	winners := 0
	for i, err := range errs {
		var f *fault.Error
		switch {
		case err == nil:
			winners++
			ts.Setenv("WINNER", authors[i])
		case !errors.As(err, &f) || f.Code != fault.CodeTicketConflict:
			return fmt.Errorf("apply ticket of author %q: %w", authors[i], err)
		}
	}
	if winners != 1 {
		return fmt.Errorf("%d tickets with the same number were accepted instead of 1", winners)
	}
	return nil
}

// hostsByName returns the hosts with the names; the single name "all" stands for every host.
func (s *scenario) hostsByName(names []string) ([]*testbed.Host, error) {
	if slices.Equal(names, []string{"all"}) {
		return s.cluster.Hosts, nil
	}
	out := make([]*testbed.Host, len(names))
	for i, n := range names {
		var err error
		if out[i], err = s.cluster.Host(n); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func cmdSignal(s *scenario, _ *testscript.TestScript, _ bool, args []string) error {
	signal := map[string]syscall.Signal{
		"crash": syscall.SIGKILL, "freeze": syscall.SIGSTOP, "thaw": syscall.SIGCONT, "term": syscall.SIGTERM,
	}[args[0]]
	hosts, err := s.hostsByName(args[1:])
	if err != nil {
		return err
	}
	for _, h := range hosts {
		if signal == syscall.SIGKILL {
			err = h.Kill()
		} else {
			err = h.Signal(signal)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// cmdExited waits until the processes of the hosts have exited with code 0 without being killed.
func cmdExited(s *scenario, _ *testscript.TestScript, _ bool, args []string) error {
	hosts, err := s.hostsByName(args[1:])
	if err != nil {
		return err
	}
	for _, h := range hosts {
		if err := h.Wait(2 * eventuallyTimeout); err != nil {
			return err
		}
	}
	return nil
}

// cmdRestart kills the hosts that are running, starts all of them and, without --no-wait, waits until they are ready.
func cmdRestart(s *scenario, _ *testscript.TestScript, _ bool, args []string) error {
	var opts struct {
		NoWait bool `long:"no-wait"`
	}
	words, err := parseArgs(args, &opts, 1, -1)
	if err != nil {
		return err
	}
	hosts, err := s.hostsByName(words)
	if err != nil {
		return err
	}
	for _, h := range hosts {
		if err := errors.Join(h.Kill(), s.cluster.StartHost(h)); err != nil {
			return err
		}
	}
	for _, h := range hosts {
		if opts.NoWait {
			continue
		}
		if err := s.cluster.WaitReady(h); err != nil {
			return err
		}
	}
	return nil
}

func cmdLink(s *scenario, _ *testscript.TestScript, _ bool, args []string) error {
	words, err := parseArgs(args, &struct{}{}, 2, -1)
	if err != nil {
		return err
	}
	hosts, err := s.hostsByName(words[1:])
	if err != nil {
		return err
	}
	for _, h := range hosts {
		if err := s.cluster.ControlLink(h, words[0]); err != nil {
			return err
		}
	}
	return nil
}

// standinsByName returns the stand-in with the name, or all stand-ins of the kind that it names.
func (s *scenario) standinsByName(name string) ([]*testbed.Standin, error) {
	switch name {
	case "store":
		return []*testbed.Standin{s.cluster.Platform}, nil
	case "engines":
		return s.cluster.Engines, nil
	case "services":
		return s.cluster.Services, nil
	case "tools":
		return []*testbed.Standin{s.cluster.Tools}, nil
	case "weights":
		return []*testbed.Standin{s.cluster.Weights}, nil
	}
	for _, standin := range append(slices.Clone(s.cluster.Engines), s.cluster.Services...) {
		if standin.Name == name {
			return []*testbed.Standin{standin}, nil
		}
	}
	return nil, fmt.Errorf("unknown stand-in %q", name)
}

func cmdFault(s *scenario, _ *testscript.TestScript, _ bool, args []string) error {
	words, err := parseArgs(args, &struct{}{}, 2, 2)
	if err != nil {
		return err
	}
	standins, err := s.standinsByName(words[0])
	if err != nil {
		return err
	}
	if words[1] == "clear" {
		return s.cluster.ClearFaults(standins...)
	}
	return s.cluster.SetFaults(json.RawMessage(words[1]), standins...)
}

// cmdDeny makes the platform close the connections of the named hosts, and of no others.
func cmdDeny(s *scenario, _ *testscript.TestScript, _ bool, args []string) error {
	hosts, err := s.hostsByName(args[1:])
	if err != nil {
		return err
	}
	b, err := json.Marshal(map[string]any{"deny_clients": hostNames(hosts)})
	if err != nil {
		return err
	}
	return s.cluster.SetFaults(b, s.cluster.Platform)
}

// cmdBackend changes backend servers in the platform's list; the list shows the change after the lag.
func cmdBackend(s *scenario, _ *testscript.TestScript, _ bool, args []string) error {
	var opts struct {
		Lag     time.Duration `long:"lag"`
		Address string        `long:"address"`
	}
	words, err := parseArgs(args, &opts, 2, 2)
	if err != nil {
		return err
	}
	standins, err := s.standinsByName(words[0])
	if err != nil {
		return err
	}
	return s.cluster.SetBackendState(standins, words[1], opts.Address, opts.Lag)
}
