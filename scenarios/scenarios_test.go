// Package scenarios runs the scripts in testdata/scenarios against a deployment of real processes on
// loopback. docs/scenarios.md describes the commands.
package scenarios

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/internal/testbed"
)

const (
	// maxParallel deployments run at once; each has about ten processes.
	maxParallel = 4
	// eventuallyTimeout is generous because the machine may be busy; a takeover alone takes about 3 s.
	eventuallyTimeout = 45 * time.Second
	// requestTimeout bounds one request of a caller.
	requestTimeout = 60 * time.Second
	// shownLogLines of each daemon are shown when a scenario fails.
	shownLogLines = 25
)

var (
	root, binDir string
	keepDirs     = flag.Bool("keep", false, "keep the folders of failed scenarios")
)

func TestMain(m *testing.M) {
	flag.Parse()
	parallel := flag.Lookup("test.parallel").Value
	if n, err := strconv.Atoi(parallel.String()); err == nil && n > maxParallel {
		_ = parallel.Set(strconv.Itoa(maxParallel)) // it is a valid number
	}
	code := 1
	if err := build(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	} else {
		code = m.Run()
	}
	_ = os.RemoveAll(binDir)
	os.Exit(code)
}

// build compiles the binaries, so that the scenarios never run older ones.
func build() (err error) {
	if root, err = testbed.RepoRoot(); err != nil {
		return err
	}
	if binDir, err = os.MkdirTemp("", "hyssopreel-bin-"); err != nil {
		return err
	}
	return testbed.Build(root, binDir)
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   filepath.Join(root, "testdata", "scenarios"),
		Setup: setup,
		Cmds:  commands(),
	})
}

// scenario is the state of one script.
type scenario struct {
	dir    string
	bed    *testbed.Cluster
	ticket config.Ticket
	setenv func(key, value string)

	mu         sync.Mutex
	calls      map[string]*call          // by label
	agents     map[string]string         // agents of the programs that the script opened
	jobs       map[string]*backgroundJob // by label
	cancel     context.CancelFunc        // ends what runs in the background
	ctx        context.Context
	background sync.WaitGroup
}

type scenarioKey struct{}

func setup(env *testscript.Env) error {
	dir, err := os.MkdirTemp("", "hyssopreel-scenario-")
	if err != nil {
		return err
	}
	s := &scenario{dir: dir, calls: map[string]*call{}, agents: map[string]string{}, jobs: map[string]*backgroundJob{}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	env.Values[scenarioKey{}] = s
	env.Defer(func() { s.close(env.T()) })
	return nil
}

func (s *scenario) close(t testscript.T) {
	s.cancel()
	failed := t.(interface{ Failed() bool }).Failed()
	if s.bed != nil {
		if failed {
			for _, h := range s.bed.Hosts {
				t.Log(fmt.Sprintf("last lines of %s:\n%s", h.Name, h.Tail(shownLogLines)))
			}
		}
		if err := s.bed.Close(); err != nil {
			t.Log(err)
		}
	}
	s.background.Wait()
	if failed && *keepDirs {
		t.Log("kept " + s.dir)
		return
	}
	s.removeDir()
}

// removeDir deletes the scenario's folder. It gives up after a while: an unlink that never returned has held up a
// whole run.
func (s *scenario) removeDir() {
	const limit = 20 * time.Second
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = os.RemoveAll(s.dir)
	}()
	select {
	case <-done:
	case <-time.After(limit):
	}
}

// command runs one line of a script. A command that may be negated gets neg.
type command func(s *scenario, ts *testscript.TestScript, neg bool, args []string) error

func commands() map[string]func(*testscript.TestScript, bool, []string) {
	out := map[string]func(*testscript.TestScript, bool, []string){}
	for name, c := range map[string]command{
		"deploy": cmdDeploy, "ticket": cmdTicket, "race-tickets": cmdRaceTickets, "which": cmdWhich,
		"open": cmdOpen, "call": cmdCall, "await": cmdAwait, "hangup": cmdHangUp, "end": cmdEnd, "cancel": cmdEnd,
		"load": cmdLoad, "loop": cmdLoop, "crash": cmdSignal, "freeze": cmdSignal, "thaw": cmdSignal, "term": cmdSignal,
		"exited": cmdExited, "restart": cmdRestart, "link": cmdLink, "fault": cmdFault, "deny": cmdDeny,
		"backend": cmdBackend, "manager": cmdManager, "expect": cmdExpect, "eventually": cmdEventually,
	} {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			s := ts.Value(scenarioKey{}).(*scenario)
			s.setenv = ts.Setenv
			if s.bed == nil && name != "deploy" {
				ts.Fatalf("%s comes before deploy", name)
			}
			if neg && name != "call" && name != "open" && name != "ticket" && name != "end" {
				ts.Fatalf("%s cannot be negated", name)
			}
			// end and cancel, and the signals, share an implementation.
			if err := c(s, ts, neg, append([]string{name}, args...)); err != nil {
				ts.Fatalf("%s: %v", name, err)
			}
		}
	}
	return out
}

// parseArgs reads the options of a command line whose first word is the command, and returns the other words.
func parseArgs(args []string, options any, minWords, maxWords int) ([]string, error) {
	words, err := flags.NewParser(options, flags.PassDoubleDash).ParseArgs(args[1:])
	if err != nil {
		return nil, err
	}
	if len(words) < minWords || (maxWords >= 0 && len(words) > maxWords) {
		return nil, fmt.Errorf("%d arguments: %q", len(words), words)
	}
	return words, nil
}

// applyNegation turns the result of a request around: with neg it has to be an error answer of the API.
func applyNegation(neg bool, err error) error {
	var f *fault.Error
	switch {
	case !neg:
		return err
	case err == nil:
		return errors.New("succeeded unexpectedly")
	case !errors.As(err, &f):
		return err
	}
	return nil
}

func cmdDeploy(s *scenario, ts *testscript.TestScript, _ bool, args []string) error {
	var o struct {
		Deployment string  `short:"d" default:"tobyl"`
		Hosts      int     `short:"n" default:"3"`
		StepMS     float64 `long:"step-ms"`
		NoTicket   bool    `long:"no-ticket"`
		NoFencing  bool    `long:"ignore-fencing"`
		Fetches    float64 `long:"fetches-per-second"`
	}
	words, err := parseArgs(args, &o, 0, -1)
	if err != nil {
		return err
	}
	settings := map[string]string{}
	for _, w := range words {
		k, v, ok := strings.Cut(w, "=")
		if !ok {
			return fmt.Errorf("%q is not section.key=value", w)
		}
		settings[k] = v
	}
	d, ok := testbed.Deployments[o.Deployment]
	if !ok {
		return fmt.Errorf("no deployment %q", o.Deployment)
	}
	s.bed, err = testbed.Start(s.dir, testbed.Options{
		Deployment: d, Hosts: o.Hosts, BinDir: binDir, RepoRoot: root, Settings: settings, EngineStepMS: o.StepMS,
		IgnoreFencing: o.NoFencing, WeightFetchesPerSecond: o.Fetches,
	})
	if err != nil {
		return err
	}
	for i, h := range s.bed.Hosts {
		s.setenv(string(rune('a'+i)), h.Name)
	}
	if s.ticket, err = s.bed.LoadDefaultTicket(); err != nil || o.NoTicket {
		return err
	}
	if err := s.bed.ApplyTicket(s.ctx, s.bed.Hosts[0], s.ticket); err != nil {
		return err
	}
	return s.eventually(append([]string{"in-force", fmt.Sprint(s.ticket.Number)}, hostNames(s.bed.Hosts)...))
}

func hostNames(hosts []*testbed.Host) []string {
	names := make([]string, len(hosts))
	for i, h := range hosts {
		names[i] = h.Name
	}
	return names
}

// eventually waits until a condition holds.
func (s *scenario) eventually(args []string) error {
	ctx, cancel := context.WithTimeout(s.ctx, eventuallyTimeout)
	defer cancel()
	if err := testbed.Await(ctx, func() error { return s.expect(args) }); err != nil {
		return fmt.Errorf("not within %v: %w", eventuallyTimeout, err)
	}
	return nil
}

func cmdEventually(s *scenario, _ *testscript.TestScript, _ bool, args []string) error {
	return s.eventually(args[1:])
}

func cmdExpect(s *scenario, _ *testscript.TestScript, _ bool, args []string) error {
	return s.expect(args[1:])
}
