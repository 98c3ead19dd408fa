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
	// maxParallel bounds the deployments that run at once; each has about ten processes.
	maxParallel = 4
	// eventuallyTimeout allows for a busy machine; a takeover alone takes about 3 s.
	eventuallyTimeout = 45 * time.Second
	// requestTimeout bounds one request of a caller.
	requestTimeout = 60 * time.Second
	// shownLogLines is the number of last log lines of each host that a failed scenario prints.
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
		_ = parallel.Set(strconv.Itoa(maxParallel)) // Itoa returns a valid number
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

// build compiles the binaries, so that the scenarios never run outdated ones.
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
	dir     string
	cluster *testbed.Cluster
	ticket  config.Ticket
	setenv  func(key, value string)

	mu         sync.Mutex
	calls      map[string]*call          // by label
	agents     map[string]string         // names of agents, by ID of the programs that the script opened
	jobs       map[string]*backgroundJob // by label
	cancel     context.CancelFunc        // ends calls and jobs in the background
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
	if s.cluster != nil {
		if failed {
			for _, h := range s.cluster.Hosts {
				t.Log(fmt.Sprintf("last lines of %s:\n%s", h.Name, h.Tail(shownLogLines)))
			}
		}
		if err := s.cluster.Close(); err != nil {
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

// removeDir deletes the scenario's folder. It gives up after 20 s, because an unlink that never returned has blocked
// a whole test run.
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

// command runs one line of a script. neg is true if the line negates the command, as only some commands allow.
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
			if s.cluster == nil && name != "deploy" {
				ts.Fatalf("command %s requires a deploy before it", name)
			}
			if neg && name != "call" && name != "open" && name != "ticket" && name != "end" {
				ts.Fatalf("command %s cannot be negated", name)
			}
			// end and cancel, and the signals, share an implementation.
			if err := c(s, ts, neg, append([]string{name}, args...)); err != nil {
				ts.Fatalf("%s: %v", name, err)
			}
		}
	}
	return out
}

// parseArgs parses the options of a command line into options and returns its other arguments without the command,
// args[0].
func parseArgs(args []string, options any, minWords, maxWords int) ([]string, error) {
	words, err := flags.NewParser(options, flags.PassDoubleDash).ParseArgs(args[1:])
	if err != nil {
		return nil, err
	}
	if len(words) < minWords || (maxWords >= 0 && len(words) > maxWords) {
		return nil, fmt.Errorf("wrong number of arguments (%d): %q", len(words), words)
	}
	return words, nil
}

// applyNegation returns err or, with neg, nil if err is an error of the API and an error otherwise.
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
	var opts struct {
		Deployment string  `short:"d" default:"tobyl"`
		Hosts      int     `short:"n" default:"3"`
		StepMS     float64 `long:"step-ms"`
		NoTicket   bool    `long:"no-ticket"`
		NoFencing  bool    `long:"ignore-fencing"`
		Fetches    float64 `long:"fetches-per-second"`
	}
	words, err := parseArgs(args, &opts, 0, -1)
	if err != nil {
		return err
	}
	settings := map[string]string{}
	for _, w := range words {
		k, v, ok := strings.Cut(w, "=")
		if !ok {
			return fmt.Errorf("setting %q does not have the form section.key=value", w)
		}
		settings[k] = v
	}
	d, ok := testbed.Deployments[opts.Deployment]
	if !ok {
		return fmt.Errorf("unknown deployment %q", opts.Deployment)
	}
	s.cluster, err = testbed.Start(s.dir, testbed.Options{
		Deployment: d, Hosts: opts.Hosts, BinDir: binDir, RepoRoot: root, Settings: settings, EngineStepMS: opts.StepMS,
		IgnoreFencing: opts.NoFencing, WeightFetchesPerSecond: opts.Fetches,
	})
	if err != nil {
		return err
	}
	for i, h := range s.cluster.Hosts {
		s.setenv(string(rune('a'+i)), h.Name)
	}
	if s.ticket, err = s.cluster.LoadDefaultTicket(); err != nil || opts.NoTicket {
		return err
	}
	if err := s.cluster.ApplyTicket(s.ctx, s.cluster.Hosts[0], s.ticket); err != nil {
		return err
	}
	return s.eventually(append([]string{"in-force", fmt.Sprint(s.ticket.Number)}, hostNames(s.cluster.Hosts)...))
}

func hostNames(hosts []*testbed.Host) []string {
	names := make([]string, len(hosts))
	for i, h := range hosts {
		names[i] = h.Name
	}
	return names
}

// eventually waits until a condition holds, at most for eventuallyTimeout.
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
