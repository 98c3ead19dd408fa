// Command harness2 runs the scripted cases of the second review: it starts the programs of the deploy file on loopback
// addresses against stand-ins for the platform's store, the backend servers and the callers, and checks one rule.
package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/hyssopreel/hyssopreel/standin/objects"
)

const (
	pingInterval = 1200 * time.Millisecond
	readyTimeout = 20 * time.Second
	callerHost   = "cases.example"
)

var zones = []string{"delta-a", "piedmont-b", "coastal-c"}

// world is one deployment with its stand-ins and the record of what happened.
type world struct {
	folder    string
	startedAt time.Time
	store     *objects.Store
	trouble   bool

	mu      sync.Mutex
	record  *os.File
	hosts   []*host
	workers []*worker
	servers []*http.Server
}

// host is one process of the deploy file.
type host struct {
	name, role, zone, settings, dataDir string
	callers, ready, peer                string
	// store is the store's address for this host alone, and serverReads when it read the list of workers there.
	store       string
	mu          sync.Mutex
	serverReads []time.Time
	cmd         *exec.Cmd
	ended       chan struct{}
}

func newWorld(recordPath string) (*world, error) {
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{folder: folder, startedAt: time.Now(), store: objects.New(), record: record, trouble: os.Getenv("TROUBLE") != "0"}
	w.logf("disruption: %v", w.trouble)
	return w, nil
}

// listenStore serves the store at an address of its own for one host.
func (w *world) listenStore(h *host) {
	store := w.store
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	h.store = listener.Addr().String()
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet && r.URL.Path == "/objects/servers" {
			h.mu.Lock()
			h.serverReads = append(h.serverReads, time.Now())
			h.mu.Unlock()
		}
		store.ServeHTTP(out, r)
	})}
	w.servers = append(w.servers, server)
	go func() { _ = server.Serve(listener) }()
}

// readsSince returns how often the host has read or watched the list of workers since a moment.
func (h *host) readsSince(t time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, at := range h.serverReads {
		if at.After(t) {
			n++
		}
	}
	return n
}

// logf writes a line to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(w.startedAt).Seconds(), fmt.Sprintf(format, args...))
	_, _ = w.record.WriteString(line)
	fmt.Print(line)
}

// usedPorts holds the ports that freeAddress has returned.
var usedPorts = map[int]bool{}

// freeAddress returns a free loopback address with a port below those that the kernel picks for channels.
func freeAddress() string {
	for {
		port := 10000 + rand.IntN(20000)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if usedPorts[port] {
			continue
		}
		usedPorts[port] = true
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		return address
	}
}

// reset ends all processes and workers and empties the store, for another deployment in the same case.
func (w *world) reset() {
	w.endAll()
	w.store, w.hosts, w.workers = objects.New(), nil, nil
}

// endAll ends all processes and workers.
func (w *world) endAll() {
	for _, h := range w.hosts {
		if h.cmd != nil {
			_ = h.cmd.Process.Kill()
			<-h.ended
		}
	}
	for _, s := range w.workers {
		s.crash("end of the deployment")
	}
}

// addHosts adds hosts of a role, spread over the zones.
func (w *world) addHosts(role string, n int) {
	for i := range n {
		w.addHost(role, zones[i%len(zones)], i/len(zones)+1)
	}
}

// addHost adds a host to a zone.
func (w *world) addHost(role, zone string, number int) *host {
	h := &host{name: fmt.Sprintf("%s-%s-%d", role, zone, number), role: role, zone: zone, peer: freeAddress()}
	w.listenStore(h)
	if role == "entry" {
		h.callers, h.ready = freeAddress(), freeAddress()
	} else {
		h.dataDir = filepath.Join(w.folder, h.name)
		_ = os.MkdirAll(h.dataDir, 0o700)
	}
	h.settings = filepath.Join(w.folder, h.name+".ini")
	w.hosts = append(w.hosts, h)
	return h
}

// writeSettings writes the settings as deploy/settings.ini renders them for a small deployment.
func (w *world) writeSettings(h *host, firstStart bool) error {
	var seeds []string
	for _, o := range w.hosts {
		if o.role == "entry" && len(seeds) < 3 {
			seeds = append(seeds, o.peer)
		}
	}
	directory, size := "", ""
	if h.role == "entry" {
		directory = freeAddress()
	} else {
		size = "size = 260MB"
	}
	text := fmt.Sprintf(`[host]
name = %s
failure_domain = %s
region = deep-south
first_start = %v

[listen]
callers = %s
ready = %s
directory = %s
peer = %s
metrics = %s

[platform]
address = %s

[seeds]
peers = %s

[limits]
memory = 284MB
cores = 1
cores_share = 0.4
link_mbps = 1000.0
descriptors = 4100

[disk]
path = %s
%s

[promises]
host_losses = 1
configuration = 2000ms
drain = 2000ms
stable = 3000ms

[shutdown]
grace = 8s

[log]
level = info
`, h.name, h.zone, firstStart, h.callers, h.ready, directory, h.peer, freeAddress(), h.store, strings.Join(seeds, ","), h.dataDir, size)
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

// start starts the process of a host.
func (w *world) start(h *host, firstStart bool) error {
	if err := w.writeSettings(h, firstStart); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(w.folder, h.name+".out"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.cmd = exec.Command("target/hyssopreeld", h.role) // the commands of deploy/system.toml
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.folder, "HYSSOPREEL_BOOT=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = out, out
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) { _ = cmd.Wait(); _ = out.Close(); close(ended) }(h.cmd, h.ended)
	w.logf("host %s starts: %s, callers at %s", h.name, "target/hyssopreeld "+h.role, h.callers)
	return nil
}

// kill sends SIGKILL to a host and waits for its end.
func (w *world) kill(h *host) {
	w.logf("host %s is killed", h.name)
	_ = h.cmd.Process.Kill()
	<-h.ended
}

// startAll starts all hosts and waits until the entry hosts are ready. If a port was taken meanwhile, it starts all hosts
// again with other ones.
func (w *world) startAll() error {
	var err error
	for range 3 {
		if err = w.startOnce(); err == nil {
			return nil
		}
		w.logf("the deployment did not start: %v", err)
		for _, h := range w.hosts {
			if h.cmd != nil {
				_ = h.cmd.Process.Kill()
				<-h.ended
			}
			h.peer = freeAddress()
			if h.role == "entry" {
				h.callers, h.ready = freeAddress(), freeAddress()
			}
		}
	}
	return err
}

func (w *world) startOnce() error {
	for _, h := range w.hosts {
		if err := w.start(h, true); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if err := w.awaitReady(h); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until the platform's own check of an entry host succeeds.
func (w *world) awaitReady(h *host) error {
	if h.role != "entry" {
		return nil
	}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		select {
		case <-h.ended:
			return errors.New("host " + h.name + " has ended")
		default:
		}
		resp, err := http.Get("http://" + h.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			w.logf("host %s is ready", h.name)
			return nil
		}
	}
	return errors.New("host " + h.name + " is not ready")
}

// close ends all processes and stand-ins.
func (w *world) close() {
	w.endAll()
	for _, s := range w.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("kept:", w.folder)
	}
	_ = w.record.Close()
}

func (w *world) entries() []*host {
	var out []*host
	for _, h := range w.hosts {
		if h.role == "entry" {
			out = append(out, h)
		}
	}
	return out
}

// putConfig writes a version of the configuration as the operator does.
func (w *world) putConfig(version int, routes []map[string]any, services []map[string]any) {
	w.store.Put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	w.logf("the operator's configuration %d is accepted", version)
}

// answer is what a caller received.
type answer struct {
	status  int
	header  http.Header
	body    string
	err     error // the channel ended before the whole answer
	sentAt  time.Time
	endedAt time.Time
}

func (a answer) String() string {
	ending := "whole"
	if a.err != nil {
		ending = "channel ended early"
	}
	return fmt.Sprintf("status %d, %d bytes, %s, after %d ms", a.status, len(a.body), ending, a.endedAt.Sub(a.sentAt).Milliseconds())
}

// call sends one attempt of a caller to a host, on a new channel.
func (w *world) call(h *host, method, path, attempt, body string, header map[string]string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.callers+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = callerHost
	request.Header.Set("Hyssopreel-Attempt-Id", attempt)
	request.Header.Set("Hyssopreel-Deadline-Ms", "4000")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	w.logf("caller: attempt %s (%s %s) is sent to %s", attempt, method, path, h.name)
	a := answer{sentAt: time.Now()}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(request)
	if err == nil {
		var b strings.Builder
		buffer := make([]byte, 4096)
		for err == nil {
			var n int
			n, err = resp.Body.Read(buffer)
			b.Write(buffer[:n])
		}
		_ = resp.Body.Close()
		a.status, a.header, a.body = resp.StatusCode, resp.Header, b.String()
		if err.Error() == "EOF" {
			err = nil
		}
	}
	a.err, a.endedAt = err, time.Now()
	w.logf("caller: attempt %s gets %s", attempt, a)
	return a
}
