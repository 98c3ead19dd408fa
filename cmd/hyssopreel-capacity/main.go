// Command hyssopreel-capacity takes the measurements that docs/CAPACITY.md is computed from. It prints each measurement
// and, for each quantity, a least-squares line.
package main

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Parts         string `long:"parts" default:"memory,events,frames,journal,fleet,takeover" description:"comma-separated list of the measurements to run"`
	BinDir        string `long:"bin" default:"bin" description:"directory of the built binaries"`
	FleetSizes    []int  `long:"hosts" description:"number of hosts of a fleet; may be repeated" default:"3" default:"9" default:"30" default:"90"`
	ProgramCounts []int  `long:"programs" description:"number of programs of a host; may be repeated" default:"1000" default:"10000" default:"50000"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(o options) error {
	parts := []struct {
		name string
		run  func(options) error
	}{
		{"memory", measureMemory},
		{"events", measureEvents},
		{"frames", measureFrames},
		{"journal", measureJournal},
		{"fleet", measureFleets},
		{"takeover", measureTakeovers},
	}
	selected := strings.Split(o.Parts, ",")
	for _, p := range parts {
		if !slices.Contains(selected, p.name) {
			continue
		}
		started := time.Now()
		fmt.Printf("\n## %s (%d processors, load average %s)\n", p.name, runtime.NumCPU(), loadAverage())
		if err := p.run(o); err != nil {
			return fmt.Errorf("measure %s: %w", p.name, err)
		}
		fmt.Printf("# %s took %s\n", p.name, time.Since(started).Round(time.Second))
	}
	return nil
}

func loadAverage() string {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	f := strings.Fields(string(b))
	return strings.Join(f[:min(3, len(f))], " ")
}
