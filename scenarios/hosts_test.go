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

// readTicket reads a ticket of the script, or the deployment's example without a file.
func (s *scenario) readTicket(ts *testscript.TestScript, file string) (config.Ticket, error) {
	if file == "" {
		return s.ticket, nil
	}
	return s.bed.LoadTicket(ts.MkAbs(file))
}

func cmdTicket(s *scenario, ts *testscript.TestScript, neg bool, args []string) error {
	var o struct {
		Via   string `long:"via" default:"a"`
		Code  string `long:"code"`
		BG    bool   `long:"bg"`
		Label string `long:"label" default:"ticket"`
	}
	words, err := parseArgs(args, &o, 0, 1)
	if err != nil {
		return err
	}
	t, err := s.readTicket(ts, append(words, "")[0])
	if err != nil {
		return err
	}
	h, err := s.bed.Host(o.Via)
	if err != nil {
		return err
	}
	apply := func() error {
		err := s.bed.ApplyTicket(s.ctx, h, t)
		var f *fault.Error
		if !neg || !errors.As(err, &f) {
			return applyNegation(neg, err)
		}
		if o.Code != "" && !slices.Contains(strings.Split(o.Code, "|"), string(f.Code)) {
			return fmt.Errorf("%w, expected code %s", err, o.Code)
		}
		return nil
	}
	if !o.BG {
		return apply()
	}
	s.runInBackground(o.Label, apply)
	return nil
}

// cmdRaceTickets applies tickets at the same time, each through another host: HOST FILE HOST FILE ... Exactly
// one is accepted; WINNER is set to its author.
func cmdRaceTickets(s *scenario, ts *testscript.TestScript, _ bool, args []string) error {
	words, err := parseArgs(args, &struct{}{}, 4, -1)
	if err != nil {
		return err
	}
	errs := make([]error, len(words)/2)
	authors := make([]string, len(words)/2)
	var wg sync.WaitGroup
	for i := range errs {
		h, err := s.bed.Host(words[2*i])
		if err != nil {
			return err
		}
		t, err := s.readTicket(ts, words[2*i+1])
		if err != nil {
			return err
		}
		authors[i] = t.Author
		wg.Go(func() { errs[i] = s.bed.ApplyTicket(s.ctx, h, t) })
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
			return fmt.Errorf("ticket of %s: %w", authors[i], err)
		}
	}
	if winners != 1 {
		return fmt.Errorf("%d tickets with one number were accepted", winners)
	}
	return nil
}

// hostsByName returns the hosts of the names; "all" is every host.
func (s *scenario) hostsByName(names []string) ([]*testbed.Host, error) {
	if slices.Equal(names, []string{"all"}) {
		return s.bed.Hosts, nil
	}
	out := make([]*testbed.Host, len(names))
	for i, n := range names {
		var err error
		if out[i], err = s.bed.Host(n); err != nil {
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

// cmdExited waits until hosts have ended by themselves with exit code 0.
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

// cmdRestart kills hosts that still run, starts them again and waits until they are ready.
func cmdRestart(s *scenario, _ *testscript.TestScript, _ bool, args []string) error {
	var o struct {
		NoWait bool `long:"no-wait"`
	}
	words, err := parseArgs(args, &o, 1, -1)
	if err != nil {
		return err
	}
	hosts, err := s.hostsByName(words)
	if err != nil {
		return err
	}
	for _, h := range hosts {
		if err := errors.Join(h.Kill(), s.bed.StartHost(h)); err != nil {
			return err
		}
	}
	for _, h := range hosts {
		if o.NoWait {
			continue
		}
		if err := s.bed.WaitReady(h); err != nil {
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
		if err := s.bed.ControlLink(h, words[0]); err != nil {
			return err
		}
	}
	return nil
}

// standinsByName returns the stand-ins that a name stands for.
func (s *scenario) standinsByName(name string) ([]*testbed.Standin, error) {
	switch name {
	case "store":
		return []*testbed.Standin{s.bed.Platform}, nil
	case "engines":
		return s.bed.Engines, nil
	case "services":
		return s.bed.Services, nil
	case "tools":
		return []*testbed.Standin{s.bed.Tools}, nil
	case "weights":
		return []*testbed.Standin{s.bed.Weights}, nil
	}
	for _, w := range append(slices.Clone(s.bed.Engines), s.bed.Services...) {
		if w.Name == name {
			return []*testbed.Standin{w}, nil
		}
	}
	return nil, fmt.Errorf("no stand-in %q", name)
}

func cmdFault(s *scenario, _ *testscript.TestScript, _ bool, args []string) error {
	words, err := parseArgs(args, &struct{}{}, 2, 2)
	if err != nil {
		return err
	}
	to, err := s.standinsByName(words[0])
	if err != nil {
		return err
	}
	if words[1] == "clear" {
		return s.bed.ClearFaults(to...)
	}
	return s.bed.SetFaults(json.RawMessage(words[1]), to...)
}

// cmdDeny cuts the named hosts, and no others, off from the platform.
func cmdDeny(s *scenario, _ *testscript.TestScript, _ bool, args []string) error {
	hosts, err := s.hostsByName(args[1:])
	if err != nil {
		return err
	}
	b, err := json.Marshal(map[string]any{"deny_clients": hostNames(hosts)})
	if err != nil {
		return err
	}
	return s.bed.SetFaults(b, s.bed.Platform)
}

// cmdBackend changes servers in the platform's list; the change shows after the lag.
func cmdBackend(s *scenario, _ *testscript.TestScript, _ bool, args []string) error {
	var o struct {
		Lag     time.Duration `long:"lag"`
		Address string        `long:"address"`
	}
	words, err := parseArgs(args, &o, 2, 2)
	if err != nil {
		return err
	}
	of, err := s.standinsByName(words[0])
	if err != nil {
		return err
	}
	return s.bed.SetBackendState(of, words[1], o.Address, o.Lag)
}
