package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sort"
	"syscall"
	"time"

	"github.com/hyssopreel/hyssopreel/common/clock"
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/core/configstate"
	"github.com/hyssopreel/hyssopreel/core/event"
	"github.com/hyssopreel/hyssopreel/core/membership"
	"github.com/hyssopreel/hyssopreel/core/program"
	"github.com/hyssopreel/hyssopreel/core/sched"
)

// cpuMicros returns the processor time of this process on all cores, in microseconds. Unlike wall-clock time, it does
// not include the time that other processes use.
func cpuMicros() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / float64(time.Microsecond)
}

// measureCost returns the processor time in microseconds of one call of f, as median, minimum and maximum of five rounds
// of count calls, and its allocations.
func measureCost(count int, f func(i int)) (median, low, high, allocs float64) {
	const rounds = 5
	var roundMicros []float64
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for r := range rounds {
		start := cpuMicros()
		for i := range count {
			f(r*count + i)
		}
		roundMicros = append(roundMicros, (cpuMicros()-start)/float64(count))
	}
	runtime.ReadMemStats(&after)
	sort.Float64s(roundMicros)
	return roundMicros[rounds/2], roundMicros[0], roundMicros[rounds-1], float64(after.Mallocs-before.Mallocs) / float64(rounds*count)
}

func printCost(kind, size string, count int, f func(i int)) float64 {
	median, low, high, allocs := measureCost(count, f)
	fmt.Printf("%s at %s: %.4g us (%.4g to %.4g), %.4g allocations\n", kind, size, median, low, high, allocs)
	return median
}

func measureEvents(o options) error {
	turns := newSeries("all events of a turn", "programs", "us")
	sweeps := newSeries("program.ticked with the sweep", "programs", "us")
	ticks := newSeries("program.ticked without the sweep", "programs", "us")
	changes := newSeries("program.scheduler_changed, no call of the group", "programs", "us")
	exports := newSeries("program.snapshot_requested, no history", "programs", "us")
	for _, n := range append([]int{2270}, o.ProgramCounts...) {
		h := newHome(n)
		size := fmt.Sprintf("%d programs", n)
		measureTurns(h, n, size, turns)
		h.reduce(program.Ticked{})
		ticks.add(float64(n), printCost("program.ticked without the sweep", size, 200, func(int) { h.reduce(program.Ticked{}) }))
		sweeps.add(float64(n), printCost("program.ticked with the sweep", size, 3, func(int) { h.now += 10_000; h.reduce(program.Ticked{}) }))
		changes.add(float64(n), printCost("program.scheduler_changed", size, 5, func(int) { h.reduce(program.SchedulerChanged{Group: "other/0"}) }))
		exports.add(float64(n), printCost("program.snapshot_requested", size, 1, func(int) { h.reduce(program.SnapshotRequested{}); h.confirmCommits() }))
	}
	measureSchedulerChanged()
	for _, s := range []*series{turns, ticks, sweeps, changes, exports} {
		s.printFit()
	}
	measureSchedEvents()
	measureMembershipEvents()
	if err := measureBackendList(); err != nil {
		return err
	}
	return measureCodec()
}

// measureBackendList measures the list of backend servers, which every host requests from the platform every 2 s. The
// processor time includes that of the HTTP server, which runs in this process.
func measureBackendList() error {
	bytes := newSeries("list of backend servers", "workers", "bytes")
	times := newSeries("read of the list of backend servers", "workers", "us")
	for _, n := range []int{100, 1000, 6000} {
		var list struct {
			Backends []objectapi.Backend `json:"backends"`
		}
		for i := range n {
			list.Backends = append(list.Backends, objectapi.Backend{
				Name: fmt.Sprintf("reel-lm-%04d", i), Pool: "reel-lm", Kind: "engine", Address: fmt.Sprintf("10.2.%d.%d:9000", i/250, i%250),
				FailureDomain: fmt.Sprintf("almaty-%c", 'a'+i%13), State: objectapi.BackendLive, ChecksFencing: true,
			})
		}
		body, err := json.Marshal(list)
		if err != nil {
			return err
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) })}
		go func() { _ = server.Serve(l) }()
		store := objectapi.NewHTTPStore(l.Addr().String(), "capacity", 10*time.Second)
		bytes.add(float64(n), float64(len(body)))
		var readErr error
		times.add(float64(n), printCost("read of the list of backend servers", fmt.Sprintf("%d workers", n), 10, func(int) {
			if found, err := store.Backends(context.Background()); err != nil || len(found) != n {
				readErr = fmt.Errorf("read the list of backend servers: %d of %d listed: %w", len(found), n, err)
			}
		}))
		_ = server.Close()
		if readErr != nil {
			return readErr
		}
	}
	bytes.printFit()
	times.printFit()
	return nil
}

// measureSchedulerChanged measures program.scheduler_changed at a host of the target size: 750 of its 2,270 programs
// have a running call.
func measureSchedulerChanged() {
	h := newHome(2270)
	for _, p := range h.programs[:750] {
		h.startCall(p, "key", 0)
	}
	const size = "2270 programs, 750 calls in flight"
	printCost("program.scheduler_changed of all groups", size, 20, func(int) { h.reduce(program.SchedulerChanged{}) })
	printCost("program.scheduler_changed, waiting calls only", size, 20, func(int) { h.reduce(program.SchedulerChanged{WaitingOnly: true}) })
}

// measureTurns adds the cost of all events of a turn to total and prints the wall-clock time by event kind.
func measureTurns(h *home, n int, size string, total *series) {
	type kindCost struct {
		elapsed time.Duration
		count   int
	}
	byKind := map[event.Kind]*kindCost{}
	h.wrapReduce = func(e event.Event, reduce func() []event.Effect) []event.Effect {
		start := time.Now()
		effects := reduce()
		s := byKind[e.EventKind()]
		if s == nil {
			s = &kindCost{}
			byKind[e.EventKind()] = s
		}
		s.elapsed += time.Since(start)
		s.count++
		return effects
	}
	total.add(float64(n), printCost("all events of a turn without text", size, 1000, func(i int) {
		h.runCall(h.programs[i%n], fmt.Sprintf("key-%d", i), 0)
	}))
	h.wrapReduce = nil
	kinds := make([]string, 0, len(byKind))
	for k := range byKind {
		kinds = append(kinds, string(k))
	}
	sort.Strings(kinds)
	for _, k := range kinds {
		s := byKind[event.Kind(k)]
		fmt.Printf("  %s: %.4g us wall time, %d events\n", k, float64(s.elapsed.Nanoseconds())/1000/float64(s.count), s.count)
	}
}

// measureSchedEvents measures a group whose workers have cache for few of the programs, and one with cache for all.
func measureSchedEvents() {
	for _, cacheTokens := range []int64{100_000, 100_000_000} {
		measureSchedEventsAt(cacheTokens)
	}
}

func measureSchedEventsAt(cacheTokens int64) {
	for _, workers := range []int{16, 64} {
		for _, waiting := range []int{0, 100, 1000} {
			slots := workers * 8
			size := fmt.Sprintf("%d workers, %d calls above their places, a cache of %d tokens a worker", workers, waiting, cacheTokens)
			next := slots + waiting
			// Each finished call is followed by a new one, so that the queue keeps its length.
			var running []sched.Grant
			addGrants := func(effects []event.Effect) {
				for _, e := range effects {
					if g, ok := e.(sched.Grant); ok {
						running = append(running, g)
					}
				}
			}
			state := sched.NewState()
			g := groupWithWorkers(workers)
			for i := range g.Workers {
				g.Workers[i].CacheCapacityTokens = cacheTokens
			}
			state.Reduce(1000, g)
			for i := range slots + waiting {
				addGrants(state.Reduce(1000, enqueuedEvent("lm/0", i)))
			}
			printCost("sched.finished and sched.enqueued", size, 200, func(int) {
				if len(running) > 0 {
					g := running[0]
					running = running[1:]
					addGrants(state.Reduce(1000, sched.Finished{Call: g.Call, Group: g.Group, Worker: g.Worker, PromptTokens: 10, GeneratedTokens: 10}))
				}
				addGrants(state.Reduce(1000, enqueuedEvent("lm/0", next)))
				next++
			})
			now := clock.Millis(1000)
			printCost("sched.ticked", size, 200, func(int) { now += 100; state.Reduce(now, sched.Ticked{Group: "lm/0"}) })
		}
	}
}

func measureMembershipEvents() {
	received := newSeries("membership.heard", "members", "us")
	ticked := newSeries("membership.ticked", "members", "us")
	for _, n := range []int{9, 30, 90, 370} {
		r, m := membershipReducer(n)
		now := clock.Millis(1000)
		size := fmt.Sprintf("%d members", n)
		digest := membership.Digest(m)
		received.add(float64(n), printCost("membership.heard", size, 300, func(int) {
			r.Reduce(now, membership.HeartbeatReceived{Heartbeat: membership.Heartbeat{Host: m[1].Name, Incarnation: 7, LeaseVersion: 9, MembersDigest: digest}})
		}))
		ticked.add(float64(n), printCost("membership.ticked", size, 300, func(i int) {
			now += 100
			for j := 1; j < n; j *= 2 { // contact with the ring neighbors
				r.Reduce(now, membership.FrameReceived{Host: m[j].Name})
			}
			r.Reduce(now, membership.Ticked{Random: uint32(i)})
		}))
	}
	received.printFit()
	ticked.printFit()
	m := testMembers(370)
	for i := range m { // a record keeps at most 256 adopted journals
		for k := range 256 {
			m[i].Adopted = append(m[i].Adopted, ids.NewJournal(m[(i*31+k)%370].Name, uint64(100+k)))
		}
	}
	printCost("search for the home of a journal", "370 members, 256 adopted journals each", 20, func(int) { membership.Home(m[200].Journal, m) })
}

// measureCodec measures the encoding and decoding of events that the runtime does for each event.
func measureCodec() error {
	h := newHome(1)
	h.startCall(h.programs[0], "key", turnBytes/4)
	d := configstate.Document{Config: testConfig(1000)}
	for _, e := range []event.Event{
		program.DispatchEnded{Call: h.lastDispatch.Call, Result: program.ResultCompleted, Text: randomText(h.rng, turnBytes*3/4)},
		program.Ticked{},
		membership.HeartbeatReceived{Heartbeat: membership.Heartbeat{Host: "almaty-a-1", Incarnation: 7, MembersDigest: 1 << 60}},
		enqueuedEvent("lm/0", 1),
		program.ConfigChanged{Config: testConfig(1000)},
		configstate.DocumentReceived{Document: &d},
	} {
		b, err := event.Encode(event.Envelope{At: 1, Event: e})
		if err != nil {
			return err
		}
		printCost("encoding and decoding of "+string(e.EventKind()), fmt.Sprintf("%d bytes", len(b)), 50, func(int) {
			b, err := event.Encode(event.Envelope{At: 1, Event: e})
			if err == nil {
				_, err = event.Decode(b)
			}
			if err != nil {
				panic(err)
			}
		})
	}
	return nil
}
