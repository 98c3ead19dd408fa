package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// chainsAtOnce lets the helpers of programs with a long history begin at the same moment, several times.
func chainsAtOnce(r *rig) (bool, error) {
	const (
		programs     = 30
		turnsOfChain = 8
		inputBytes   = 160_000
		// helpers is the greatest width on the sheets.
		helpers = 10
		bursts  = 4
		pause   = 4 * time.Second
		// calm is the time between two helpers without trouble.
		calm = 60 * time.Millisecond
	)
	_, c, addresses, err := r.startDeployment()
	if err != nil {
		return false, err
	}
	watched := r.watchMemory()
	chains := make([]turn, programs)
	var group sync.WaitGroup
	for p := range programs {
		group.Go(func() { chains[p] = c.program(addresses, turnsOfChain, inputBytes) })
		time.Sleep(calm)
	}
	group.Wait()
	r.note("%d programs have histories of %d turns with %d bytes each; peaks so far: %s", programs, turnsOfChain, inputBytes, watched.peaks())
	time.Sleep(pause)
	for burst := range bursts {
		var served, refused, failed atomic.Int64
		for p := range programs {
			for h := range helpers {
				group.Go(func() {
					a := c.send(addresses[(p+h)%len(addresses)], newID(), chains[p].program, chains[p].attempt, "check this")
					switch {
					case a.whole:
						served.Add(1)
					case a.status == http.StatusServiceUnavailable:
						refused.Add(1)
					default:
						failed.Add(1)
					}
				})
				if !r.trouble {
					time.Sleep(calm)
				}
			}
		}
		group.Wait()
		r.note("burst %d: of %d helpers %d served, %d refused with 503, %d failed; peaks: %s", burst+1, programs*helpers, served.Load(), refused.Load(), failed.Load(), watched.peaks())
		if !r.trouble && burst == 0 {
			break // one takes 18 s
		}
		time.Sleep(pause)
	}
	return watched.broken(), nil
}

// program runs the turns of one program, and returns the last one.
func (c *consumer) program(addresses []string, turns, inputBytes int) turn {
	previous := turn{program: newID()}
	for i := range turns {
		t := turn{attempt: newID(), program: previous.program, input: strings.Repeat(newID(), inputBytes/16)}
		if a := c.send(addresses[i%len(addresses)], t.attempt, t.program, previous.attempt, t.input); !a.whole {
			c.rig.note("turn %d of program %s: status %d, whole %v, %v", i+1, t.program, a.status, a.whole, a.err)
			break
		}
		previous = t
	}
	return previous
}

// memoryWatch ends processes that use more memory than their machine has, as the platform does.
type memoryWatch struct {
	rig  *rig
	mu   sync.Mutex
	peak map[string]int64 // bytes by host
	ends map[string]int
}

func (r *rig) watchMemory() *memoryWatch {
	w := &memoryWatch{rig: r, peak: map[string]int64{}, ends: map[string]int{}}
	for _, h := range r.hosts {
		go w.watch(h)
	}
	return w
}

func (w *memoryWatch) watch(h *host) {
	limit, _ := strconv.ParseInt(h.values["limits.memoryMb"], 10, 64)
	for {
		time.Sleep(5 * time.Millisecond)
		process := h.process
		if process == nil {
			return // the case has ended
		}
		used := residentBytes(process.Process.Pid)
		w.mu.Lock()
		w.peak[h.name] = max(w.peak[h.name], used)
		w.mu.Unlock()
		if used <= limit*1_000_000 {
			continue
		}
		w.mu.Lock()
		w.ends[h.name]++
		w.mu.Unlock()
		w.rig.note("%s uses %d MB of %d MB, and is killed by the platform", h.name, used/1_000_000, limit)
		h.kill()
		time.Sleep(500 * time.Millisecond)
		if err := h.start(); err != nil {
			w.rig.note("%v", err)
			return
		}
	}
}

func (w *memoryWatch) peaks() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, h := range w.rig.hosts {
		out = append(out, fmt.Sprintf("%s %d MB", h.name, w.peak[h.name]/1_000_000))
	}
	return strings.Join(out, ", ")
}

// broken reports whether the processes on two machines ended three times.
func (w *memoryWatch) broken() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	machines := 0
	for _, n := range w.ends {
		if n >= 3 {
			machines++
		}
	}
	w.rig.note("ends by machine: %v", w.ends)
	return machines >= 2
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) int64 {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		if fields := strings.Fields(lines.Text()); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.ParseInt(fields[1], 10, 64)
			return kb << 10
		}
	}
	return 0
}
