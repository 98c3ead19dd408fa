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

// residentMB returns the resident memory of a process, now and at its most.
func residentMB(pid int) (now, most int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			now = kb / 1024
		}
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kb); n == 1 {
			most = kb / 1024
		}
	}
	return now, most
}

func runBodies(l *lab, trouble bool) (bool, error) {
	if err := newTobyl(l); err != nil {
		return false, err
	}
	for range 3 {
		if _, err := l.addWorker(app, "almaty-a", 6, 50*time.Millisecond); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	body := strings.Repeat("x", 4<<20)
	n := 24
	if !trouble {
		n = 2
	}
	h := l.hosts[0]
	a, b := residentMB(h.cmd.Process.Pid)
	l.logf("before: %d MB, most %d MB", a, b)
	var group sync.WaitGroup
	for range n {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			l.send(ctx, h, http.MethodPost, writePrefix+"x", map[string]string{"Hyssopreel-Deadline-Ms": "3000"}, body)
		})
	}
	group.Wait()
	a, b = residentMB(h.cmd.Process.Pid)
	l.logf("after: %d MB, most %d MB", a, b)
	fmt.Println(n, b)
	return b > memoryMB, nil
}
