package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/hyssopreel/hyssopreel/common/wire"
	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/internal/testbed"
	"github.com/hyssopreel/hyssopreel/standin/platform"
)

const (
	// stabilizationDelay lets the hosts exchange their records before the measurement. From longStabilizationHosts on,
	// wire.DefaultIdleTimeout is added, after which the links to former ring neighbors are closed as idle: the neighbors
	// change with each host that starts.
	stabilizationDelay     = 4 * time.Second
	longStabilizationHosts = 30
	// idleMeasurementTime is the time over which an idle fleet is measured: three lease renewals of 4 s.
	idleMeasurementTime = 12 * time.Second
	// ticketCount is the number of tickets whose distribution in a fleet is measured.
	ticketCount = 3
	// clockTicksPerSecond is the number of units of processor time in /proc/<pid>/stat per second (USER_HZ of Linux).
	clockTicksPerSecond = 100
)

// targetSizeSettings returns the settings for the target size in docs/design.md, sections 3 and 9.
func targetSizeSettings() map[string]string {
	return map[string]string{
		"lease.duration": "12s", "lease.renew": "4s", "membership.heartbeat": "1s", "membership.suspect_after": "3s",
		"event_log.path": "", "platform.timeout": "2s",
	}
}

// startDeployment starts a deployment and retries once, because another process may take a chosen port before its daemon
// starts. The returned function stops the deployment.
func startDeployment(o options, hosts, domains int, settings map[string]string) (*testbed.Cluster, func(), error) {
	bed, closeBed, err := tryStartDeployment(o, hosts, domains, settings)
	if err != nil {
		fmt.Printf("start of %d hosts failed and is tried again: %v\n", hosts, err)
		return tryStartDeployment(o, hosts, domains, settings)
	}
	return bed, closeBed, nil
}

func tryStartDeployment(o options, hosts, domains int, settings map[string]string) (*testbed.Cluster, func(), error) {
	root, err := testbed.RepoRoot()
	if err != nil {
		return nil, nil, err
	}
	bin, err := filepath.Abs(o.BinDir)
	if err != nil {
		return nil, nil, err
	}
	dir, err := os.MkdirTemp("", "hyssopreel-capacity-")
	if err != nil {
		return nil, nil, err
	}
	d := testbed.Deployments["tobyl"]
	d.FailureDomains = nil
	for i := range domains {
		d.FailureDomains = append(d.FailureDomains, fmt.Sprintf("domain-%c", 'a'+i))
	}
	bed, err := testbed.Start(dir, testbed.Options{Deployment: d, Hosts: hosts, BinDir: bin, RepoRoot: root, Settings: settings})
	closeBed := func() {
		if closeErr := bed.Close(); closeErr != nil {
			fmt.Fprintln(os.Stderr, closeErr)
		}
		_ = os.RemoveAll(dir)
	}
	if err != nil {
		closeBed()
		return nil, nil, err
	}
	return bed, closeBed, nil
}

// usage is the resource usage of one process as counted by the kernel. Bytes and calls include those of sockets.
type usage struct {
	cpuSeconds              float64
	readBytes, writtenBytes float64
	readCalls, writeCalls   float64
	residentBytes           float64
}

func readUsage(pid int) (usage, error) {
	var u usage
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	// The fields after the command name, which is in parentheses, begin with field 3, the state.
	f := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	user, _ := strconv.ParseFloat(f[11], 64)
	system, _ := strconv.ParseFloat(f[12], 64)
	u.cpuSeconds = (user + system) / clockTicksPerSecond
	for _, file := range []string{"io", "status"} {
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
		if err != nil {
			return u, err
		}
		for line := range strings.Lines(string(b)) {
			f := strings.Fields(line)
			if len(f) < 2 {
				continue
			}
			v, _ := strconv.ParseFloat(f[1], 64)
			switch f[0] {
			case "rchar:":
				u.readBytes = v
			case "wchar:":
				u.writtenBytes = v
			case "syscr:":
				u.readCalls = v
			case "syscw:":
				u.writeCalls = v
			case "VmRSS:":
				u.residentBytes = v * 1024
			}
		}
	}
	return u, nil
}

func readUsages(bed *testbed.Cluster) ([]usage, error) {
	usages := make([]usage, len(bed.Hosts))
	for i, h := range bed.Hosts {
		var err error
		if usages[i], err = readUsage(h.PID()); err != nil {
			return nil, err
		}
	}
	return usages, nil
}

func measureFleets(o options) error {
	s := fleetSeries{
		cpu:          newSeries("processor time of an idle daemon", "hosts", "% of a core"),
		memory:       newSeries("resident memory of an idle daemon", "hosts", "MB"),
		writtenBytes: newSeries("bytes written by an idle daemon", "hosts", "bytes/s"),
		writeCalls:   newSeries("write calls of an idle daemon", "hosts", "calls/s"),
		ticketTime:   newSeries("time until a ticket is in force on all hosts, longest of 3", "hosts", "ms"),
	}
	for _, n := range o.FleetSizes {
		if err := measureFleet(o, n, s); err != nil {
			return fmt.Errorf("%d hosts: %w", n, err)
		}
	}
	for _, x := range []*series{s.cpu, s.memory, s.writtenBytes, s.writeCalls, s.ticketTime} {
		x.printFit()
	}
	return nil
}

type fleetSeries struct{ cpu, memory, writtenBytes, writeCalls, ticketTime *series }

func measureFleet(o options, n int, s fleetSeries) error {
	started := time.Now()
	bed, closeBed, err := startDeployment(o, n, min(n, 13), targetSizeSettings())
	if err != nil {
		return err
	}
	defer closeBed()
	fmt.Printf("%d daemons are ready after %s, load average %s\n", n, time.Since(started).Round(100*time.Millisecond), loadAverage())
	t, err := bed.LoadDefaultTicket()
	if err != nil {
		return err
	}
	if err := applyTicket(bed, bed.Hosts[0], t); err != nil {
		return err
	}
	time.Sleep(stabilizationDelay)
	if n >= longStabilizationHosts {
		time.Sleep(wire.DefaultIdleTimeout)
	}
	if err := measureIdle(bed, n, s); err != nil {
		return err
	}
	return measureTickets(bed, n, s.ticketTime)
}

func measureIdle(bed *testbed.Cluster, n int, s fleetSeries) error {
	callsBefore, err := bed.PlatformCounters()
	if err != nil {
		return err
	}
	before, err := readUsages(bed)
	if err != nil {
		return err
	}
	start := time.Now()
	time.Sleep(idleMeasurementTime)
	after, err := readUsages(bed)
	if err != nil {
		return err
	}
	calls, err := bed.PlatformCounters()
	if err != nil {
		return err
	}
	seconds := time.Since(start).Seconds()
	var total usage
	maxCPUSeconds := 0.0
	for i := range after {
		total.cpuSeconds += after[i].cpuSeconds - before[i].cpuSeconds
		total.readBytes += after[i].readBytes - before[i].readBytes
		total.writtenBytes += after[i].writtenBytes - before[i].writtenBytes
		total.readCalls += after[i].readCalls - before[i].readCalls
		total.writeCalls += after[i].writeCalls - before[i].writeCalls
		total.residentBytes += after[i].residentBytes
		maxCPUSeconds = max(maxCPUSeconds, after[i].cpuSeconds-before[i].cpuSeconds)
	}
	hosts := float64(n)
	s.cpu.add(hosts, 100*total.cpuSeconds/seconds/hosts)
	fmt.Printf("  the busiest daemon: %.3g%% of a core\n", 100*maxCPUSeconds/seconds)
	s.memory.add(hosts, total.residentBytes/hosts/(1<<20))
	s.writtenBytes.add(hosts, total.writtenBytes/seconds/hosts)
	fmt.Printf("  bytes read: %.5g a second and host\n", total.readBytes/seconds/hosts)
	s.writeCalls.add(hosts, total.writeCalls/seconds/hosts)
	links := 0
	for _, h := range bed.Hosts {
		state, err := bed.LinkState(h)
		if err != nil {
			return err
		}
		links += state.Connections
	}
	fmt.Printf("  accepted links: %.4g a host\n", float64(links)/hosts)
	printStoreCalls(callsBefore, calls, seconds, hosts)
	return nil
}

func printStoreCalls(before, after platform.Counters, seconds, hosts float64) {
	kinds := make([]string, 0, len(after.ByKind))
	for k := range after.ByKind {
		kinds = append(kinds, k)
	}
	sort.Strings(kinds)
	printLine := func(name string, b, a platform.CallCounts) {
		fmt.Printf("  store calls, %s: %.4g reads/s, %.4g writes/s, %.4g watches/s, %d conflicts, %d refused (%.4g reads and writes a second and host)\n",
			name, float64(a.Reads-b.Reads)/seconds, float64(a.Writes-b.Writes)/seconds, float64(a.Watches-b.Watches)/seconds,
			a.Conflicts-b.Conflicts, a.Refused-b.Refused, float64(a.Reads-b.Reads+a.Writes-b.Writes)/seconds/hosts)
	}
	for _, k := range kinds {
		if a, b := storeCallsOfKind(after, k), storeCallsOfKind(before, k); a != b {
			printLine(k, b, a)
		}
	}
	backends := func(c platform.Counters) platform.CallCounts { return platform.CallCounts{Reads: c.BackendLists} }
	printLine("list of backend servers", backends(before), backends(after))
	printLine("all", before.CallCounts, after.CallCounts)
	fmt.Printf("  waiting watches: %d\n", after.WaitingWatches)
}

// storeCallsOfKind returns the counts of one object kind, zero if the store has none for it.
func storeCallsOfKind(c platform.Counters, kind string) platform.CallCounts {
	if k := c.ByKind[kind]; k != nil {
		return *k
	}
	return platform.CallCounts{}
}

func applyTicket(bed *testbed.Cluster, via *testbed.Host, t config.Ticket) error {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	return bed.Do(ctx, via.HTTPAddress, http.MethodPost, "/v1/tickets", t, nil)
}

// measureTickets applies tickets and measures, from the logs of the daemons, the time until each is in force.
func measureTickets(bed *testbed.Cluster, n int, s *series) error {
	var longest time.Duration
	callsBefore, err := bed.PlatformCounters()
	if err != nil {
		return err
	}
	for i := range ticketCount {
		number := uint64(100 + i)
		sent := time.Now()
		if err := applyTicket(bed, bed.Hosts[i%n], testTicket(number, "bench-1")); err != nil {
			return err
		}
		answered := time.Since(sent)
		last, median, err := awaitInForce(bed, number, sent)
		if err != nil {
			return err
		}
		fmt.Printf("ticket %d over %d hosts: answered after %s, in force on half of the hosts after %s, on all after %s\n",
			i+1, n, answered.Round(time.Millisecond), median.Round(time.Millisecond), last.Round(time.Millisecond))
		longest = max(longest, last)
	}
	calls, err := bed.PlatformCounters()
	if err != nil {
		return err
	}
	for _, kind := range []string{"config", "tickets"} {
		a, b := storeCallsOfKind(calls, kind), storeCallsOfKind(callsBefore, kind)
		fmt.Printf("  store calls for %d tickets, %s: %d reads, %d writes, %d watches\n", ticketCount, kind, a.Reads-b.Reads, a.Writes-b.Writes, a.Watches-b.Watches)
	}
	s.add(float64(n), float64(longest.Milliseconds()))
	return nil
}

// logLine has the fields of a line of a daemon's log that the measurements use.
type logLine struct {
	Timestamp time.Time `json:"timestamp"`
	Fields    struct {
		Event   int     `json:"event"`
		Ticket  uint64  `json:"ticket"`
		Journal string  `json:"journal"`
		Error   *string `json:"error"`
	} `json:"fields"`
}

const (
	eventJournalAdopted = 1305
	eventTicketInForce  = 1400
)

// findLogLine returns the timestamp of the first line of the log that matches, zero if none does.
func findLogLine(file string, match func(logLine) bool) (time.Time, error) {
	f, err := os.Open(file)
	if err != nil {
		return time.Time{}, err
	}
	defer func() { _ = f.Close() }()
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var l logLine
		if json.Unmarshal(lines.Bytes(), &l) == nil && match(l) {
			return l.Timestamp, nil
		}
	}
	return time.Time{}, lines.Err()
}

func awaitInForce(bed *testbed.Cluster, number uint64, sent time.Time) (last, median time.Duration, err error) {
	var delays []time.Duration
	for _, h := range bed.Hosts {
		for {
			at, err := findLogLine(h.LogPath, func(l logLine) bool { return l.Fields.Event == eventTicketInForce && l.Fields.Ticket == number })
			if err != nil {
				return 0, 0, err
			}
			if !at.IsZero() {
				delays = append(delays, at.Sub(sent))
				break
			}
			if time.Since(sent) > time.Minute {
				return 0, 0, fmt.Errorf("ticket %d is not in force on host %s after a minute", number, h.Name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	sort.Slice(delays, func(i, j int) bool { return delays[i] < delays[j] })
	return delays[len(delays)-1], delays[len(delays)/2], nil
}
