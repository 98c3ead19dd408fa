package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/standin/objects"
)

const (
	readyTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
	// memoryMB is the memory of an entry machine of tobyl-benches.
	memoryMB = 134
)

// lab is a deployment on loopback: a store, workers and entry hosts.
type lab struct {
	dir     string
	record  *os.File
	started time.Time
	mu      sync.Mutex // guards record and sentTo

	// sentTo holds the host to which the caller sent each attempt.
	sentTo map[string]string

	store        *objects.Store
	storeAddress string
	// storeDown makes the store answer 503 to every call: nothing was done.
	storeDown atomic.Bool
	// storeSilence is closed at the end of a time in which the store answers nothing; nil while it answers.
	storeSilence atomic.Pointer[chan struct{}]

	ipPrefix string // of the entry hosts, the first three bytes
	hosts    []*host
	workers  []*worker
	attempts atomic.Int64
}

// host is one machine with the role entry.
type host struct {
	name, zone, ip string
	settings       string
	cmd            *exec.Cmd
	exited         chan struct{}
}

func (h *host) front() string   { return h.ip + ":8149" }
func (h *host) ready() string   { return h.ip + ":8141" }
func (h *host) control() string { return h.ip + ":8144" }

// newLab starts a store. recordPath is the file that the caller of the script reads.
func newLab(recordPath string) (*lab, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	l := &lab{dir: dir, record: record, started: time.Now(), store: objects.New(), sentTo: map[string]string{}}
	if l.ipPrefix, err = freePrefix(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.storeAddress = listener.Addr().String()
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if l.storeDown.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			if !l.awaitStore(r.Context()) {
				return
			}
			response := httptest.NewRecorder()
			l.store.ServeHTTP(response, r)
			if !l.awaitStore(r.Context()) {
				return
			}
			for name, values := range response.Header() {
				w.Header()[name] = values
			}
			w.WriteHeader(response.Code)
			_, _ = w.Write(response.Body.Bytes())
		}))
	}()
	return l, nil
}

// awaitStore waits while the store is silent. It reports false if the client has left in the meantime.
func (l *lab) awaitStore(ctx context.Context) bool {
	for {
		silence := l.storeSilence.Load()
		if silence == nil {
			return ctx.Err() == nil
		}
		select {
		case <-*silence:
		case <-ctx.Done():
			return false
		}
	}
}

// setStoreSilent begins or ends a time in which the store answers nothing. Calls that still wait are answered at its end.
func (l *lab) setStoreSilent(silent bool) {
	l.logf("store silent: %v", silent)
	if silent {
		silence := make(chan struct{})
		l.storeSilence.Store(&silence)
		return
	}
	if silence := l.storeSilence.Swap(nil); silence != nil {
		close(*silence)
	}
}

// setStoreDown begins or ends an outage of the store. Watches that wait are cut off at its beginning.
func (l *lab) setStoreDown(down bool) {
	l.storeDown.Store(down)
	status := 0
	if down {
		status = http.StatusServiceUnavailable
	}
	l.store.SetFaults(objects.Faults{ErrorStatus: status})
	l.store.Put("review-wakeup", "watches", l.attempts.Add(1)) // ends the wait of all watches
	l.logf("store down: %v", down)
}

// freePrefix returns three bytes of loopback addresses at which the ports of an entry host are free.
func freePrefix() (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for i := 1; i <= 9; i++ {
			for _, port := range []string{"8141", "8143", "8144", "8149", "9464"} {
				listener, err := net.Listen("tcp", prefix+strconv.Itoa(i)+":"+port)
				if err != nil {
					free = false
					break
				}
				_ = listener.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

// logf writes a line to the record.
func (l *lab) logf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f s  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

// addHosts adds entry hosts with the settings that the platform would render; they are not started.
func (l *lab) addHosts(zones ...string) error {
	template, err := os.ReadFile("deploy/host.ini")
	if err != nil {
		return err
	}
	inZone := map[string]int{}
	for i, zone := range zones {
		inZone[zone]++
		h := &host{name: fmt.Sprintf("front-%s-%d", zone, inZone[zone]), zone: zone, ip: l.ipPrefix + strconv.Itoa(i+1)}
		l.hosts = append(l.hosts, h)
	}
	var seeds []string
	for _, h := range l.hosts[:min(3, len(l.hosts))] {
		seeds = append(seeds, h.control())
	}
	for _, h := range l.hosts {
		h.settings = filepath.Join(l.dir, h.name+".ini")
		text := strings.NewReplacer(
			"{{node}}", h.name, "{{zone}}", h.zone, "{{region}}", "almaty", "{{firstStart}}", "true",
			"{{listen.front}}", h.front(), "{{listen.ready}}", h.ready(), "{{listen.directory}}", h.ip+":8143",
			"{{listen.control}}", h.control(), "{{ip}}", h.ip, "{{provider.address}}", l.storeAddress,
			"{{seeds}}", strings.Join(seeds, ","), "{{limits.memoryMb}}", strconv.Itoa(memoryMB), "{{limits.cores}}", "1",
			"{{limits.cpuShare}}", "0.4", "{{limits.linkMbps}}", "1000", "{{bounds.graceS}}", "8",
		).Replace(string(template))
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// restarted makes the settings of a host those of a later start.
func (h *host) restarted() error {
	text, err := os.ReadFile(h.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(h.settings, []byte(strings.Replace(string(text), "first_start = true", "first_start = false", 1)), 0o600)
}

// start starts the process of a host with the command of the deploy file.
func (l *lab) start(h *host) error {
	out, err := os.OpenFile(filepath.Join(l.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	h.cmd = exec.Command("target/hyssopreeld", "entry")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + l.dir, "LANG=C", "HYSSOPREEL_BOOT=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = out, out
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.exited = exited
	cmd := h.cmd
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	l.logf("started %s", h.name)
	return nil
}

// kill ends the process of a host with SIGKILL and waits for its end.
func (l *lab) kill(h *host) {
	_ = h.cmd.Process.Kill()
	<-h.exited
	l.logf("killed %s", h.name)
}

// restart starts a killed host again and waits until it is ready.
func (l *lab) restart(h *host) error {
	if err := h.restarted(); err != nil {
		return err
	}
	if err := l.start(h); err != nil {
		return err
	}
	return l.waitReady(h)
}

// isReady is the platform's readiness check.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + h.ready() + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (l *lab) waitReady(hosts ...*host) error {
	deadline := time.Now().Add(readyTimeout)
	for _, h := range hosts {
		for !h.isReady() {
			if time.Now().After(deadline) {
				return errors.Newf("host %s is not ready", h.name)
			}
			time.Sleep(pollInterval)
		}
		l.logf("ready: %s", h.name)
	}
	return nil
}

// startAll starts all hosts and waits until they are ready.
func (l *lab) startAll() error {
	for _, h := range l.hosts {
		if err := l.start(h); err != nil {
			return err
		}
	}
	return l.waitReady(l.hosts...)
}

// stop ends all processes. The folder with the settings and logs stays only if REVIEW_KEEP is set.
func (l *lab) stop() {
	for _, h := range l.hosts {
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
			_ = h.cmd.Process.Kill()
			<-h.exited
		}
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Println("logs:", l.dir)
	}
	_ = l.record.Close()
}

// Routes of the stand-in deployment. All have the values of tobyl-benches.
const (
	callerHost  = "ficu95.example"
	turnPrefix  = "/lohu930/"
	readPrefix  = "/pule252/"
	writePrefix = "/puxa403/"
	engines     = "huvo11a"
	app         = "wuno96b"
	// otherApp is a second plain service, to which configurations move routes.
	otherApp = "fiwu21b"
	// strideTokens is the number of tokens in one event.
	strideTokens = 10
)

// putConfig writes the operator's configuration: readService is the service of the idempotent route.
func (l *lab) putConfig(version int, readService string) {
	turn := map[string]any{
		"name": "r-turn", "host": callerHost, "pathPrefix": turnPrefix, "kind": "streaming", "timeoutMs": 4000, "targetLatencyMs": 200,
		"priority": 1, "service": engines, "attempts": 1, "retain": false, "retentionS": 60.0, "sticky": true, "resumable": true, "gapAimMs": 200,
	}
	read := map[string]any{
		"name": "r-read", "host": callerHost, "pathPrefix": readPrefix, "kind": "idempotent", "timeoutMs": 1200, "targetLatencyMs": 120,
		"priority": 2, "service": readService, "attempts": 2,
	}
	write := map[string]any{
		"name": "r-write", "host": callerHost, "pathPrefix": writePrefix, "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 400,
		"priority": 2, "service": app, "attempts": 1,
	}
	l.store.Put("config", "main", map[string]any{
		"version": version, "routes": []any{turn, read, write},
		"services": []any{
			map[string]any{"name": engines, "healthPath": "/healthz", "maxConns": 170, "protocol": "h1", "engine": map[string]any{"slots": 16, "kvCapacity": 125987, "strideTokens": strideTokens}},
			map[string]any{"name": app, "healthPath": "/healthz", "maxConns": 100, "protocol": "h1"},
			map[string]any{"name": otherApp, "healthPath": "/healthz", "maxConns": 100, "protocol": "h1"},
		},
		"limits": map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	l.logf("config %d is acknowledged: %s goes to %s", version, readPrefix, readService)
}

// worker is a backend server that runs every request at once.
type worker struct {
	lab                        *lab
	id, service, zone, address string
	slots                      int
	born                       int64
	// run, if set, replaces the sound behavior; it reports false to go on with it.
	run func(w http.ResponseWriter, r *http.Request) bool
	// work is the time that a request takes, in nanoseconds.
	work atomic.Int64
	// running is the number of requests that it runs now.
	running atomic.Int64

	mu sync.Mutex
	// sends holds the requests that reached the worker.
	sends []arrival
}

// arrival is one request at a worker.
type arrival struct {
	at      time.Time
	attempt string
}

// addWorker starts a worker and registers it in the store.
func (l *lab) addWorker(service, zone string, slots int, work time.Duration) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		lab: l, id: fmt.Sprintf("i-%s-%d", service, len(l.workers)+1), service: service, zone: zone, address: listener.Addr().String(),
		slots: slots, born: time.Now().UnixMilli(),
	}
	w.work.Store(int64(work))
	l.workers = append(l.workers, w)
	go func() { _ = http.Serve(listener, w) }()
	w.register("ready")
	return w, nil
}

func (w *worker) register(state string) {
	w.lab.store.Put("servers", w.id, map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": state,
		"coldLeftMs": 0, "sequence": 1, "born": w.born,
	})
}

// ServeHTTP runs a request as a sound worker does.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Hyssopreel-Attempt-Id")
	if expected := r.Header.Get("Hyssopreel-Expect-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("Hyssopreel-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	w.sends = append(w.sends, arrival{time.Now(), attempt})
	w.mu.Unlock()
	if w.run != nil && w.run(rw, r) {
		return
	}
	running := w.running.Add(1)
	defer w.running.Add(-1)
	rw.Header().Set("Hyssopreel-Instance-Load", fmt.Sprintf("%d,%d,%d", min(running, int64(w.slots)), max(running-int64(w.slots), 0), w.slots))
	w.lab.logf("%s runs %s %s, attempt %s", w.id, r.Method, r.URL.Path, attempt)
	rw.Header().Set("Hyssopreel-Attempt-Id", attempt)
	rw.Header().Set("Hyssopreel-Server-Stamp", w.id+"."+attempt)
	if !strings.HasPrefix(r.URL.Path, turnPrefix) {
		time.Sleep(time.Duration(w.work.Load()))
		_, _ = fmt.Fprintf(rw, "answer of %s to %s", w.service, attempt)
		return
	}
	_, most, _ := strings.Cut(r.Header.Get("Hyssopreel-Token-Count"), ",")
	tokens, _ := strconv.Atoi(most)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	rw.Header().Set("Content-Type", "text/event-stream")
	for event := after + 1; event <= tokens/strideTokens; event++ {
		time.Sleep(time.Duration(w.work.Load()))
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", event, attempt); err != nil {
			return
		}
		rw.(http.Flusher).Flush()
	}
}

// answer is what a caller got.
type answer struct {
	status int
	body   string
	// events is the number of whole events that reached the caller.
	events int
	err    error
}

// send sends one request on a new channel and reads the whole answer.
func (l *lab) send(ctx context.Context, h *host, method, path string, header map[string]string, body string) answer {
	attempt := fmt.Sprintf("%016x", rand.Uint64())
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.front()+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	l.mu.Lock()
	l.sentTo[attempt] = h.name
	l.mu.Unlock()
	r.Host = callerHost
	r.Header.Set("Hyssopreel-Attempt-Id", attempt)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(r)
	if err != nil {
		l.logf("attempt %s to %s: %s %s: %v", attempt, h.name, method, path, err)
		return answer{err: err}
	}
	defer resp.Body.Close()
	var text strings.Builder
	buffer := make([]byte, 4096)
	for err == nil {
		var n int
		n, err = resp.Body.Read(buffer)
		text.Write(buffer[:n])
	}
	a := answer{status: resp.StatusCode, body: text.String()}
	if err.Error() != "EOF" {
		a.err = err
	}
	if resp.Header.Get("Content-Type") == "text/event-stream" {
		a.events = strings.Count(a.body, "\n\n")
	}
	l.logf("attempt %s to %s: %s %s: status %d, %d events, %d bytes, error %v", attempt, h.name, method, path, a.status, a.events, len(a.body), a.err)
	return a
}

// program is an agent program with a token budget.
type program struct {
	id           string
	budget, most int
	delivered    int // tokens that reached the caller
	turns        int
	phases       []int // tokens by phase
	lastStatus   int
}

// turn sends one turn of a program, and again after 503 and failures, as a caller may.
func (l *lab) turn(p *program, h *host, tries int) int {
	body, _ := json.Marshal(map[string]any{"program": p.id, "turn": p.turns})
	for try := 1; ; try++ {
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		a := l.send(ctx, h, http.MethodPost, turnPrefix+p.id, map[string]string{
			"Hyssopreel-Program-Id": p.id, "Hyssopreel-Session-Id": "s-" + p.id, "Hyssopreel-Program-Deadline-Ms": "60000",
			"Hyssopreel-Token-Budget": strconv.Itoa(p.budget), "Hyssopreel-Token-Count": fmt.Sprintf("400,%d", p.most),
			"Hyssopreel-Deadline-Ms": "4000", "Hyssopreel-Model": "m",
		}, string(body))
		cancel()
		p.delivered += a.events * strideTokens
		p.lastStatus = a.status
		p.turns++
		if a.status == http.StatusOK || a.status == http.StatusPaymentRequired || try == tries {
			return a.status
		}
		time.Sleep(200 * time.Millisecond)
	}
}
