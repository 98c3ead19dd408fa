// Package testbed starts and stops the processes of a whole deployment on loopback, for tests and the demo:
// the stand-ins for the outside systems and the daemons, each with a link proxy in front of its peer port.
package testbed

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"

	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/standin/platform"
)

const (
	// readyTimeout bounds the start of a host, including the wait until the lease of a killed incarnation expires.
	readyTimeout = 60 * time.Second
	pollInterval = 20 * time.Millisecond
	// maxRunning and cacheTokens equal the values of the pools in testdata/tickets.
	maxRunning  = 8
	cacheTokens = 100_000
)

// Pool is the name of a pool and its number of workers.
type Pool struct {
	Name    string
	Workers int
}

// Deployment lists the failure domains and the pools of one deployment.
type Deployment struct {
	Name           string
	FailureDomains []string
	EnginePool     Pool
	ServicePool    Pool
}

// Deployments are the deployments of docs/design.md, section 1.1.
var Deployments = map[string]Deployment{
	"tobyl": {
		Name: "tobyl", FailureDomains: []string{"almaty-a", "almaty-b", "almaty-c"},
		EnginePool: Pool{"reel-lm", 9}, ServicePool: Pool{"bench-app", 9},
	},
	"tallowcreek": {
		Name: "tallowcreek", FailureDomains: []string{"delta-a", "piedmont-b", "coastal-c"},
		EnginePool: Pool{"agent-llm", 9}, ServicePool: Pool{"booking-app", 7},
	},
}

// Options configure a Cluster.
type Options struct {
	Deployment Deployment
	Hosts      int
	// BinDir is the folder of the binaries, RepoRoot the root of the repository.
	BinDir, RepoRoot string
	// Settings overrides values of the daemons' settings; keys are "section.key".
	Settings map[string]string
	// Trace makes each host write its spans to <host>.spans in the folder of the cluster.
	Trace bool
	// EngineStepMS is the time of one token of an engine without load, in milliseconds; 0 means 2.
	EngineStepMS float64
	// IgnoreFencing makes the engines execute orders with an outdated fencing token.
	IgnoreFencing bool
	// WeightFetchesPerSecond is the rate of the weight store; 0 is no limit.
	WeightFetchesPerSecond float64
	// EngineArgs are appended to the options of the engine stand-ins; a repeated option overrides the earlier one.
	EngineArgs []string
}

// Host is one daemon and the link proxy in front of its peer port.
type Host struct {
	Name          string
	FailureDomain string
	// HTTPAddress is the address of the HTTP API.
	HTTPAddress string
	LinkProxy   *Standin

	*Process
	settingsPath string
}

// Standin is one stand-in; several may share a process.
type Standin struct {
	Name string
	// Address serves the protocol, ControlAddress the control requests.
	Address, ControlAddress string
}

// Cluster is a running deployment.
type Cluster struct {
	Dir      string
	Options  Options
	Platform *Standin
	Engines  []*Standin
	Services []*Standin
	Tools    *Standin
	Weights  *Standin
	Hosts    []*Host
	Backends []platform.Backend

	ipPrefix  string // first three bytes of the hosts' IP addresses
	client    *http.Client
	processes []*Process // in the order of their start
}

// Build compiles the daemon and the stand-ins into a folder.
func Build(root, bin string) error {
	cmd := exec.Command("go", "build", "-o", bin+"/", "./cmd/hyssopreeld", "./cmd/hyssopreel-standin")
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("build the daemon and the stand-ins of %s: %w\n%s", root, err, out)
	}
	return nil
}

// RepoRoot returns the root of the repository that holds the current folder.
func RepoRoot() (string, error) {
	dir, err := os.Getwd()
	for ; err == nil; dir = filepath.Dir(dir) {
		if _, statErr := os.Stat(filepath.Join(dir, "go.mod")); statErr == nil {
			return dir, nil
		}
		if dir == filepath.Dir(dir) {
			return "", errors.New("no go.mod in the current folder or above it: start this in the repository")
		}
	}
	return "", err
}

// Start starts all processes and returns when every host is ready. The caller closes the cluster, also after an
// error.
func Start(dir string, o Options) (*Cluster, error) {
	b := &Cluster{Dir: dir, Options: o, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
	b.ipPrefix = fmt.Sprintf("127.%d.%d", 1+rand.IntN(254), rand.IntN(256))
	if err := b.startStandins(); err != nil {
		return b, err
	}
	for i := range o.Hosts {
		if err := b.addHost(i); err != nil {
			return b, err
		}
	}
	for _, h := range b.Hosts {
		if err := b.WaitReady(h); err != nil {
			return b, err
		}
	}
	return b, nil
}

func (b *Cluster) startStandins() error {
	d := b.Options.Deployment
	step := b.Options.EngineStepMS
	if step == 0 {
		step = 2
	}
	weights, err := b.startStandinProcess("weights", 1, "weights", "--transfer-ms", "50", "--rate", fmt.Sprint(b.Options.WeightFetchesPerSecond))
	if err != nil {
		return err
	}
	b.Weights = weights[0]
	args := []string{
		"engine", "--count", strconv.Itoa(d.EnginePool.Workers),
		"--name", d.EnginePool.Name, "--model", d.EnginePool.Name, "--step-ms", fmt.Sprint(step), "--max-running", strconv.Itoa(maxRunning),
		"--cache-tokens", strconv.Itoa(cacheTokens), "--weights", "http://" + b.Weights.Address,
	}
	if !b.Options.IgnoreFencing {
		args = append(args, "--checks-fencing")
	}
	b.Engines, err = b.startStandinProcess(d.EnginePool.Name, d.EnginePool.Workers, append(args, b.Options.EngineArgs...)...)
	if err != nil {
		return err
	}
	b.Services, err = b.startStandinProcess(d.ServicePool.Name, d.ServicePool.Workers,
		append([]string{"service"}, slices.Repeat([]string{"--listen", "127.0.0.1:0"}, d.ServicePool.Workers)...)...)
	if err != nil {
		return err
	}
	tools, err := b.startStandinProcess("tools", 1, "tool")
	if err != nil {
		return err
	}
	b.Tools = tools[0]
	return b.startPlatform()
}

func (b *Cluster) startPlatform() error {
	add := func(kind, pool string, workers []*Standin) {
		for i, w := range workers {
			b.Backends = append(b.Backends, platform.Backend{
				Name: w.Name, Pool: pool, Kind: kind, Address: w.Address, State: "live", ChecksFencing: kind == "engine" && !b.Options.IgnoreFencing,
				FailureDomain: b.Options.Deployment.FailureDomains[i%len(b.Options.Deployment.FailureDomains)],
			})
		}
	}
	add("engine", b.Options.Deployment.EnginePool.Name, b.Engines)
	add("service", b.Options.Deployment.ServicePool.Name, b.Services)
	file := filepath.Join(b.Dir, "backends.json")
	if err := writeJSON(file, map[string]any{"backends": b.Backends}); err != nil {
		return err
	}
	// The rates are those of docs/design.md, section 1.3.
	started, err := b.startStandinProcess("platform", 1, "platform", "--backends", file, "--read-rate", "2000", "--write-rate", "500")
	if err != nil {
		return err
	}
	b.Platform = started[0]
	return nil
}

func writeJSON(file string, v any) error {
	j, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, j, 0o600)
}

// startStandinProcess starts one process with n stand-ins.
func (b *Cluster) startStandinProcess(name string, n int, args ...string) ([]*Standin, error) {
	p, err := b.startProcess(name, "hyssopreel-standin", args...)
	if err != nil {
		return nil, err
	}
	addresses, err := p.announcedAddresses(n)
	if err != nil {
		return nil, err
	}
	out := make([]*Standin, n)
	for i, a := range addresses {
		out[i] = &Standin{Name: name, Address: a, ControlAddress: a}
		if n > 1 {
			out[i].Name = fmt.Sprintf("%s-%d", name, i)
		}
	}
	return out, nil
}

func (b *Cluster) startProcess(name, binary string, args ...string) (*Process, error) {
	p, err := startProcess(b.Dir, name, filepath.Join(b.Options.BinDir, binary), args...)
	if err == nil {
		b.processes = append(b.processes, p)
	}
	return p, err
}

// freeAddresses returns n addresses of one IP address with ports that the kernel chose. Each host has its own IP
// address, so that no other process gets its ports before it listens or while it is stopped.
func freeAddresses(ip string, n int) ([]string, error) {
	out := make([]string, n)
	for i := range out {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		out[i] = l.Addr().String()
	}
	return out, nil
}

func (b *Cluster) addHost(i int) error {
	domains := b.Options.Deployment.FailureDomains
	h := &Host{FailureDomain: domains[i%len(domains)]}
	h.Name = fmt.Sprintf("%s-%d", h.FailureDomain, 1+i/len(domains))
	addresses, err := freeAddresses(fmt.Sprintf("%s.%d", b.ipPrefix, 1+i), 2)
	if err != nil {
		return err
	}
	h.HTTPAddress = addresses[0]
	link, err := b.startProcess("link-"+h.Name, "hyssopreel-standin", "link", "--to", addresses[1])
	if err != nil {
		return err
	}
	linkAddresses, err := link.announcedAddresses(2)
	if err != nil {
		return err
	}
	h.LinkProxy = &Standin{Name: link.Name, Address: linkAddresses[0], ControlAddress: linkAddresses[1]}
	h.settingsPath = filepath.Join(b.Dir, h.Name+".ini")
	if err := b.writeSettings(h, addresses[1]); err != nil {
		return err
	}
	b.Hosts = append(b.Hosts, h)
	return b.StartHost(h)
}

// writeSettings writes the settings of a host. Leases are short, so that a takeover takes little time.
func (b *Cluster) writeSettings(h *Host, peer string) error {
	values := map[string]string{
		"host.name": h.Name, "host.failure_domain": h.FailureDomain, "host.region": b.Options.Deployment.Name,
		"host.data_folder": filepath.Join(b.Dir, "data-"+h.Name),
		"listen.http":      h.HTTPAddress, "listen.peer": peer, "listen.advertise_http": h.HTTPAddress, "listen.advertise_peer": h.LinkProxy.Address,
		"platform.address": b.Platform.Address, "platform.timeout": "500ms",
		"lease.duration": "2s", "lease.renew": "500ms",
		"membership.heartbeat": "200ms", "membership.suspect_after": "800ms",
		"journal.batch_interval": "10ms",
		"event_log.path":         filepath.Join(b.Dir, h.Name+".events"),
	}
	if b.Options.Trace {
		values["tracing.file"] = filepath.Join(b.Dir, h.Name+".spans")
	}
	for k, v := range b.Options.Settings {
		values[k] = v
	}
	if err := os.MkdirAll(values["host.data_folder"], 0o700); err != nil {
		return err
	}
	f := ini.Empty()
	for k, v := range values {
		section, key, _ := strings.Cut(k, ".")
		if _, err := f.Section(section).NewKey(key, v); err != nil {
			return err
		}
	}
	return f.SaveTo(h.settingsPath)
}

// StartHost starts the daemon of a host; it does not wait until the host is ready.
func (b *Cluster) StartHost(h *Host) error {
	p, err := b.startProcess(h.Name, "hyssopreeld", "--settings", h.settingsPath)
	if err != nil {
		return err
	}
	h.Process = p
	return nil
}

// WaitReady waits until GET /readyz at the host returns the status 200, for at most readyTimeout.
func (b *Cluster) WaitReady(h *Host) error {
	timeout := time.After(readyTimeout)
	for {
		if resp, err := b.client.Get("http://" + h.HTTPAddress + "/readyz"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-h.Done():
			return fmt.Errorf("host %s exited before it was ready: %w\n%s", h.Name, h.exitErr, h.Tail(20))
		case <-timeout:
			return fmt.Errorf("host %s is not ready after %v\n%s", h.Name, readyTimeout, h.Tail(20))
		case <-time.After(pollInterval):
		}
	}
}

// Host returns the host with the name; "a", "b" and "c" stand for the first, second and third one.
func (b *Cluster) Host(name string) (*Host, error) {
	for i, h := range b.Hosts {
		if h.Name == name || (len(name) == 1 && int(name[0]-'a') == i) {
			return h, nil
		}
	}
	return nil, fmt.Errorf("the cluster has no host %q", name)
}

// LoadTicket reads an example ticket and sets the address of its tools to that of the stand-in.
func (b *Cluster) LoadTicket(file string) (config.Ticket, error) {
	var t config.Ticket
	j, err := os.ReadFile(file)
	if err != nil {
		return t, err
	}
	if err := json.Unmarshal(j, &t); err != nil {
		return t, fmt.Errorf("decode ticket %s: %w", file, err)
	}
	for _, tool := range t.Objects.Tools {
		if tool != nil {
			tool.Address = b.Tools.Address
		}
	}
	return t, nil
}

// LoadDefaultTicket reads the example ticket of the deployment.
func (b *Cluster) LoadDefaultTicket() (config.Ticket, error) {
	return b.LoadTicket(filepath.Join(b.Options.RepoRoot, "testdata", "tickets", b.Options.Deployment.Name+".json"))
}

// StopHosts sends SIGTERM to all daemons and waits up to limit for each to exit.
func (b *Cluster) StopHosts(limit time.Duration) error {
	var errs error
	for _, h := range b.Hosts {
		errs = errors.Join(errs, h.Signal(syscall.SIGTERM))
	}
	for _, h := range b.Hosts {
		errs = errors.Join(errs, h.Wait(limit))
	}
	return errs
}

// Close kills every process that still runs.
func (b *Cluster) Close() error {
	var errs error
	for _, p := range slices.Backward(b.processes) {
		errs = errors.Join(errs, p.Kill())
	}
	b.client.CloseIdleConnections()
	return errs
}

// RunningProcesses returns the names of the processes that still run.
func (b *Cluster) RunningProcesses() []string {
	var names []string
	for _, p := range b.processes {
		select {
		case <-p.Done():
		default:
			names = append(names, p.Name)
		}
	}
	return names
}
