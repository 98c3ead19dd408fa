package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// bodyBytes is the limit of the configuration.
	bodyBytes = 4 << 20
	// callersAtOnce is the number of callers that come to a machine at the same time.
	callersAtOnce = 24
	// endsThatCount and machinesThatCount are those of the rule.
	endsThatCount     = 3
	machinesThatCount = 2
)

// residentMB returns the resident memory of a process, in MB; 0 if it has ended.
func residentMB(pid int) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			return kb >> 10
		}
	}
	return 0
}

// limitMemory acts as the platform: it kills the process of the host when it uses more than the machine's memory, and starts
// it again. It counts these ends until stop is closed.
func (l *lab) limitMemory(h *host, stop <-chan struct{}) (ends, most int) {
	for {
		select {
		case <-stop:
			return ends, most
		case <-time.After(time.Millisecond):
		}
		used := residentMB(h.cmd.Process.Pid)
		most = max(most, used)
		if used <= memoryMB {
			continue
		}
		ends++
		l.logf("%s uses %d MB of %d MB", h.name, used, memoryMB)
		l.kill(h)
		if err := l.restart(h); err != nil {
			l.logf("%s does not start again: %v", h.name, err)
			return ends, most
		}
	}
}

// runBodies sends requests with bodies of the allowed size to two machines: with trouble many at once, else one by one.
func runBodies(l *lab, trouble bool) (bool, error) {
	if err := newTobyl(l); err != nil {
		return false, err
	}
	for i := range 9 {
		if _, err := l.addWorker(app, tobylZones[i%len(tobylZones)], 6, 50*time.Millisecond); err != nil {
			return false, err
		}
	}
	time.Sleep(stableWindow + time.Second)
	body := strings.Repeat("x", bodyBytes)
	stop := make(chan struct{})
	var platform sync.WaitGroup
	victims := l.hosts[:machinesThatCount]
	ends, most := make([]int, len(victims)), make([]int, len(victims))
	for i, h := range victims {
		platform.Go(func() { ends[i], most[i] = l.limitMemory(h, stop) })
	}
	for range endsThatCount {
		var group sync.WaitGroup
		for range callersAtOnce {
			for _, h := range victims {
				call := func() {
					ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
					defer cancel()
					l.send(ctx, h, http.MethodPost, writePrefix+"x", map[string]string{"Hyssopreel-Deadline-Ms": "3000"}, body)
				}
				if trouble {
					group.Go(call)
				} else {
					call()
				}
			}
		}
		group.Wait()
		time.Sleep(stableWindow + time.Second)
	}
	close(stop)
	platform.Wait()
	broken := 0
	for i, h := range victims {
		l.logf("%s ended %d times, its most memory was %d MB of %d MB", h.name, ends[i], most[i], memoryMB)
		fmt.Printf("%s ended %d times, most %d MB of %d MB; ", h.name, ends[i], most[i], memoryMB)
		if ends[i] >= endsThatCount {
			broken++
		}
	}
	fmt.Println()
	return broken >= machinesThatCount, nil
}
