package turns

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
)

func TestSoakTrial(t *testing.T) {
	dir, _ := os.MkdirTemp("/tmp/w", "soak")
	defer os.RemoveAll(dir)
	d, err := openDisk(dir, vfs.Default)
	if err != nil {
		t.Fatal(err)
	}
	s, _ := openShelf(d, 340<<20, 154<<20)
	start := time.Now()
	var wg sync.WaitGroup
	n := 0
	var worst time.Duration
	var mu sync.Mutex
	for time.Since(start) < 100*time.Second {
		for range 30 {
			n++
			r := testRecord(fmt.Sprint("t", n), "", 5000+n%3000)
			r.Meta.Retention = 20 * time.Second
			r.Seal()
			wg.Go(func() {
				t0 := time.Now()
				st, err := s.keep(r, 0, false)
				if st != statusDone || err != nil {
					fmt.Println("REFUSED", st, err)
				}
				mu.Lock()
				worst = max(worst, time.Since(t0))
				mu.Unlock()
			})
		}
		time.Sleep(100 * time.Millisecond)
		if n%300 == 0 {
			s.expire()
		}
		if n%3000 == 0 {
			b, _ := os.ReadFile("/proc/self/status")
			rss := ""
			for _, l := range strings.Split(string(b), "\n") {
				if strings.HasPrefix(l, "VmRSS") {
					rss = l
				}
			}
			io, _ := os.ReadFile("/proc/self/io")
			mu.Lock()
			fmt.Println(n, "live MB", s.index.Bytes()>>20, "used MB", d.usedBytes()>>20, rss, "worst", worst, strings.Fields(string(io))[11])
			worst = 0
			mu.Unlock()
		}
	}
	wg.Wait()
	d.close()
	t0 := time.Now()
	d, _ = openDisk(dir, vfs.Default)
	s, _ = openShelf(d, 340<<20, 154<<20)
	fmt.Println("reopen", time.Since(t0), s.len())
	d.close()
}
