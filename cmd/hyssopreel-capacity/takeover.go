package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/core/config"
	"github.com/hyssopreel/hyssopreel/internal/testbed"
)

const (
	// callerCount is the number of callers that open programs at the same time.
	callerCount = 32
	// sampledPrograms is the number of programs that are asked for after the kill.
	sampledPrograms = 20
)

func measureTakeovers(o options) error {
	byPrograms := newSeries("takeover with a lease of 2s", "programs", "ms")
	byLease := newSeries("takeover of 100 programs", "s of lease", "ms")
	for _, c := range []struct {
		lease, renew time.Duration
		programs     int
	}{
		{2 * time.Second, 500 * time.Millisecond, 100},
		{2 * time.Second, 500 * time.Millisecond, 1000},
		{2 * time.Second, 500 * time.Millisecond, 4000},
		{6 * time.Second, 2 * time.Second, 100},
		{12 * time.Second, 4 * time.Second, 100},
	} {
		took, err := measureTakeover(o, c.lease, c.renew, c.programs)
		if err != nil {
			return fmt.Errorf("lease %s, %d programs: %w", c.lease, c.programs, err)
		}
		if c.lease == 2*time.Second {
			byPrograms.add(float64(c.programs), float64(took.Milliseconds()))
		}
		if c.programs == 100 {
			byLease.add(c.lease.Seconds(), float64(took.Milliseconds()))
		}
	}
	byPrograms.printFit()
	byLease.printFit()
	return nil
}

// measureTakeover kills a host that has programs of one turn and returns the time until they are served again.
func measureTakeover(o options, lease, renew time.Duration, programs int) (time.Duration, error) {
	settings := targetSizeSettings()
	settings["lease.duration"], settings["lease.renew"] = lease.String(), renew.String()
	settings["membership.heartbeat"], settings["membership.suspect_after"] = "200ms", "800ms"
	bed, closeBed, err := startDeployment(o, 3, 3, settings)
	if err != nil {
		return 0, err
	}
	defer closeBed()
	t, err := bed.LoadDefaultTicket()
	if err != nil {
		return 0, err
	}
	t.Objects.Teams["bench-1"] = &config.Team{MaxBudgetTokens: 200_000, MaxOpenPrograms: 1 << 20}
	if err := applyTicket(bed, bed.Hosts[0], t); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	victim, other := bed.Hosts[0], bed.Hosts[1]
	before, err := bed.PlatformCounters()
	if err != nil {
		return 0, err
	}
	start := time.Now()
	open, err := openPrograms(bed, victim, programs)
	if err != nil {
		return 0, err
	}
	calls, err := bed.PlatformCounters()
	if err != nil {
		return 0, err
	}
	fmt.Printf("%d programs of one turn were opened in %s (batch interval 10 ms): %.4g journal writes per 1,000 turns\n", programs,
		time.Since(start).Round(time.Millisecond), 1000*float64(storeCallsOfKind(calls, "journal").Writes-storeCallsOfKind(before, "journal").Writes)/float64(programs))
	killed := time.Now()
	if err := victim.Kill(); err != nil {
		return 0, err
	}
	// All programs of a journal are adopted by one event, so some of them stand for all.
	for i := 0; i < len(open); i += max(1, len(open)/sampledPrograms) {
		if err := waitServed(bed, other, open[i], killed); err != nil {
			return 0, err
		}
	}
	took := time.Since(killed)
	after, err := bed.PlatformCounters()
	if err != nil {
		return 0, err
	}
	fmt.Printf("lease %s, %d programs: served again %s after the kill; ", lease, programs, took.Round(time.Millisecond))
	for _, kind := range []string{"journal", "leases", "members"} {
		a, b := storeCallsOfKind(after, kind), storeCallsOfKind(calls, kind)
		fmt.Printf("%s: %d reads and %d writes; ", kind, a.Reads-b.Reads, a.Writes-b.Writes)
	}
	for _, h := range bed.Hosts[1:] {
		at, err := findLogLine(h.LogPath, func(l logLine) bool { return l.Fields.Event == eventJournalAdopted && l.Timestamp.After(killed) })
		if err != nil {
			return 0, err
		}
		if !at.IsZero() {
			fmt.Printf("adoption ended after %s", at.Sub(killed).Round(time.Millisecond))
		}
	}
	fmt.Println()
	return took, nil
}

func openPrograms(bed *testbed.Cluster, at *testbed.Host, n int) ([]string, error) {
	open := make([]string, n)
	g, ctx := errgroup.WithContext(context.Background())
	g.SetLimit(callerCount)
	for i := range open {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, time.Minute)
			defer cancel()
			var answer struct {
				ID string `json:"id"`
			}
			q := api.OpenProgram{Team: "bench-1", Agent: "judge", BudgetTokens: 20_000}
			if err := bed.Do(ctx, at.HTTPAddress, http.MethodPost, "/v1/programs", q, &answer); err != nil {
				return err
			}
			open[i] = answer.ID
			call := api.Call{Key: "key-1", Kind: api.CallModel, Model: &api.ModelCall{Prompt: "judge the entry", MaxTokens: 10}}
			return bed.Do(ctx, at.HTTPAddress, http.MethodPost, "/v1/programs/"+answer.ID+"/calls", call, &api.CallAnswer{})
		})
	}
	return open, g.Wait()
}

// waitServed waits until a host answers with the recorded turn of a program.
func waitServed(bed *testbed.Cluster, via *testbed.Host, id string, since time.Time) error {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		var h api.History
		err := bed.Do(ctx, via.HTTPAddress, http.MethodGet, "/v1/programs/"+id+"/history", nil, &h)
		cancel()
		if err == nil && len(h.Turns) == 1 {
			return nil
		}
		if time.Since(since) > time.Minute {
			return fmt.Errorf("program %s is not served: %w", id, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
