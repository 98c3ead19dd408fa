package memory

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hyssopreel/hyssopreel/standin/objects"
)

const (
	startTimeout = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	// sampleInterval is the interval at which the memory and the descriptors of the process are read.
	sampleInterval = 10 * time.Millisecond
	callerHost     = "caller.example"
	serviceName    = "app"
)

// process is a process of the system, with the memory and the descriptors that it was seen to use.
type process struct {
	pid     int
	exited  <-chan struct{}
	logPath string
	ip      string

	stopSampling chan struct{}
	sampling     sync.WaitGroup
	peakBytes    atomic.Int64
	peakFiles    atomic.Int64
}

// startProcess starts a program and samples its memory. ip is the address at which it listens, which nothing else uses.
func startProcess(t *testing.T, ip, program string, args ...string) *process {
	t.Helper()
	logPath := filepath.Join(t.TempDir(), "log")
	log, err := os.Create(logPath)
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_ = log.Close()
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGKILL)
		<-exited
	})
	return attach(t, ip, cmd.Process.Pid, exited, logPath)
}

// attach samples the memory of a process until the end of the test.
func attach(t *testing.T, ip string, pid int, exited <-chan struct{}, logPath string) *process {
	p := &process{pid: pid, ip: ip, logPath: logPath, exited: exited, stopSampling: make(chan struct{})}
	p.sampling.Go(p.sample)
	t.Cleanup(func() {
		close(p.stopSampling)
		p.sampling.Wait()
		if t.Failed() {
			t.Logf("last lines of the process:\n%s", tail(p.logPath, 8))
		}
	})
	return p
}

func tail(path string, lines int) string {
	b, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	all := strings.Split(strings.TrimSpace(string(b)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

func (p *process) sample() {
	// The list of all connections of the machine may take longer to read than the other figures.
	var unread atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.every(sampleInterval, func() { unread.Store(p.unreadBytes()) })
	}()
	p.every(sampleInterval, func() {
		storeMax(&p.peakBytes, p.residentBytes()+unread.Load())
		p.countFiles()
	})
	<-done
}

// every calls f at intervals until the sampling stops.
func (p *process) every(interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f()
		select {
		case <-p.stopSampling:
			return
		case <-ticker.C:
		}
	}
}

func (p *process) countFiles() {
	if files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid)); err == nil {
		storeMax(&p.peakFiles, int64(len(files)))
	}
}

func storeMax(peak *atomic.Int64, v int64) {
	if v > peak.Load() {
		peak.Store(v)
	}
}

func (p *process) residentBytes() int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.pid))
	fields := strings.Fields(string(b))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64) // 0 if the process has ended
	return pages * int64(os.Getpagesize())
}

// unreadBytes returns the bytes that have arrived at the process's connections and that it has not read, which count as
// its memory on the platform.
func (p *process) unreadBytes() int64 {
	b, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	ip := net.ParseIP(p.ip).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:", ip[3], ip[2], ip[1], ip[0])
	const stateListen = "0A"
	total := int64(0)
	for line := range strings.SplitSeq(string(b), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local) || fields[3] == stateListen {
			continue
		}
		_, unread, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(unread, 16, 64)
		total += n
	}
	return total
}

// check fails the test if the process has ended or was seen to use more than the limits.
func (p *process) check(t *testing.T, maxBytes int64, maxFiles int) {
	t.Helper()
	select {
	case <-p.exited:
		t.Errorf("the process ended")
	default:
	}
	p.countFiles()
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	for line := range strings.SplitSeq(string(status), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			storeMax(&p.peakBytes, kilobytes<<10)
		}
	}
	t.Logf("peaks: %.1f MB of %.1f MB, %d of %d descriptors", megabytes(p.peakBytes.Load()), megabytes(maxBytes), p.peakFiles.Load(), maxFiles)
	if peak := p.peakBytes.Load(); peak > maxBytes {
		t.Errorf("the process used %.1f MB, more than %.1f MB", megabytes(peak), megabytes(maxBytes))
	}
	if files := p.peakFiles.Load(); files > int64(maxFiles) {
		t.Errorf("the process had %d files open, more than %d", files, maxFiles)
	}
}

func megabytes(n int64) float64 { return float64(n) / (1 << 20) }

// entryHost is an entry host with a store and one backend server.
type entryHost struct {
	*process
	callers, ready, directory, peer, metrics string
	// serverDelay is the time that the backend server takes for a request, in nanoseconds.
	serverDelay atomic.Int64
}

const (
	// entryMemoryMB and entryDescriptors are the limits in the settings of the entry hosts: less memory than that of the
	// smallest hosts, so that a small crowd shows the fault.
	entryMemoryMB    = 96
	entryDescriptors = 700
)

// startEntryHost starts an entry host with the limits of the users' deployments, and waits until it serves.
func startEntryHost(t *testing.T) *entryHost {
	t.Helper()
	ip := freeIP(t)
	h := &entryHost{callers: ip + ":8149", ready: ip + ":8141", directory: ip + ":8143", peer: ip + ":8144", metrics: ip + ":9464"}
	store := objects.New()
	storeAddress := serve(t, store)
	server := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h.serveAsBackend(w, r) }))
	store.Put("servers", "app-1", map[string]any{
		"service": serviceName, "address": server, "zone": "a", "version": "v1", "slots": 64, "state": "ready", "coldLeftMs": 0, "sequence": 1,
		"born": time.Now().UnixMilli(),
	})
	store.Put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "write", "host": callerHost, "pathPrefix": "/write/", "kind": "non_idempotent", "timeoutMs": 3000, "priority": 1, "service": serviceName,
			"attempts": 1, "anonymous": true,
		}},
		"services": []any{map[string]any{"name": serviceName, "maxConns": 100, "protocol": "h1"}},
		"limits":   map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	settings := fmt.Sprintf(`[host]
name = a-1
failure_domain = a
region = r
first_start = true
[listen]
callers = %s
ready = %s
directory = %s
peer = %s
metrics = %s
[platform]
address = %s
[limits]
memory = %dMB
descriptors = %d
[log]
level = warn
`, h.callers, h.ready, h.directory, h.peer, h.metrics, storeAddress, entryMemoryMB, entryDescriptors)
	path := filepath.Join(t.TempDir(), "host.ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	h.process = startProcess(t, ip, filepath.Join(binDir, "hyssopreeld"), "entry", "--settings", path)
	waitReady(t, h.process, "http://"+h.ready+"/readyz")
	return h
}

// serveAsBackend answers as a backend server of the platform. A path that ends in a number gets a response of that size.
func (h *entryHost) serveAsBackend(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(time.Duration(h.serverDelay.Load()))
	attempt := r.Header.Get("Hyssopreel-Attempt-Id")
	w.Header().Set("Hyssopreel-Attempt-Id", attempt)
	w.Header().Set("Hyssopreel-Server-Stamp", "app-1."+attempt)
	size, _ := strconv.Atoi(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:])
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = w.Write(make([]byte, size))
}

// answersOrdinaryRequest fails the test unless an ordinary caller gets its answer. Like all callers it repeats a request
// that was refused.
func (h *entryHost) answersOrdinaryRequest(t *testing.T) {
	t.Helper()
	askUntilAnswered(t, h.process, func() (*http.Request, error) {
		r, err := http.NewRequest(http.MethodPost, "http://"+h.callers+"/write/8", strings.NewReader(`{"ordinary":true}`))
		if err == nil {
			r.Host = callerHost
			r.Header.Set("Hyssopreel-Attempt-Id", fmt.Sprintf("%016x", rand.Uint64()))
		}
		return r, err
	})
}

// answerTimeout bounds the time in which an ordinary request is answered, with its repetitions, on a busy machine.
const answerTimeout = time.Minute

func askUntilAnswered(t *testing.T, p *process, newRequest func() (*http.Request, error)) {
	t.Helper()
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var last string
	for end := time.Now().Add(answerTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		select {
		case <-p.exited:
			t.Error("the process ended before it answered an ordinary request")
			return
		default:
		}
		r, err := newRequest()
		if err != nil {
			t.Fatal(err)
		}
		resp, err := client.Do(r)
		if err != nil {
			last = err.Error()
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
		last = resp.Status
	}
	t.Errorf("an ordinary request was not answered within %v; the last attempt ended with: %s", answerTimeout, last)
}

func waitReady(t *testing.T, p *process, url string) {
	t.Helper()
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		resp, err := client.Get(url)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatalf("the process is not ready after %v:\n%s", startTimeout, tail(p.logPath, 8))
}

// serve serves a stand-in on loopback and returns its address.
func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// freeIP returns a loopback address at which the ports of an entry host are free.
func freeIP(t *testing.T) string {
	t.Helper()
	for range 50 {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
		free := true
		for _, port := range []string{"8141", "8143", "8144", "8149", "9464"} {
			listener, err := net.Listen("tcp", ip+":"+port)
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			return ip
		}
	}
	t.Fatal("no free loopback address")
	return ""
}
