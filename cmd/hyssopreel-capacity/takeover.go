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
	// sampledPrograms is the approximate number of programs whose history is requested after the host was killed.
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

// measureTakeover kills a host with programs of one turn and returns the time until another host answers for the sampled
// programs.
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
	killedHost, other := bed.Hosts[0], bed.Hosts[1]
	before, err := bed.PlatformCounters()
	if err != nil {
		return 0, err
	}
	start := time.Now()
	programIDs, err := openPrograms(bed, killedHost, programs)
	if err != nil {
		return 0, err
	}
	beforeKill, err := bed.PlatformCounters()
	if err != nil {
		return 0, err
	}
	fmt.Printf("%d programs of one turn were opened in %s (batch interval 10 ms): %.4g journal writes per 1,000 turns\n", programs,
		time.Since(start).Round(time.Millisecond), 1000*float64(storeCallsOfKind(beforeKill, "journal").Writes-storeCallsOfKind(before, "journal").Writes)/float64(programs))
	killedAt := time.Now()
	if err := killedHost.Kill(); err != nil {
		return 0, err
	}
	// All programs of a journal are adopted by one event, so it is enough to request some of them.
	for i := 0; i < len(programIDs); i += max(1, len(programIDs)/sampledPrograms) {
		if err := waitServed(bed, other, programIDs[i], killedAt); err != nil {
			return 0, err
		}
	}
	took := time.Since(killedAt)
	after, err := bed.PlatformCounters()
	if err != nil {
		return 0, err
	}
	fmt.Printf("lease %s, %d programs: served again %s after the kill; ", lease, programs, took.Round(time.Millisecond))
	for _, kind := range []string{"journal", "leases", "members"} {
		a, b := storeCallsOfKind(after, kind), storeCallsOfKind(beforeKill, kind)
		fmt.Printf("%s: %d reads and %d writes; ", kind, a.Reads-b.Reads, a.Writes-b.Writes)
	}
	for _, h := range bed.Hosts[1:] {
		at, err := findLogLine(h.LogPath, func(l logLine) bool { return l.Fields.Event == eventJournalAdopted && l.Timestamp.After(killedAt) })
		if err != nil {
			return 0, err
		}
		if !at.IsZero() {
			fmt.Printf("adoption ended after %s", at.Sub(killedAt).Round(time.Millisecond))
		}
	}
	fmt.Println()
	return took, nil
}

func openPrograms(bed *testbed.Cluster, host *testbed.Host, n int) ([]string, error) {
	programIDs := make([]string, n)
	g, ctx := errgroup.WithContext(context.Background())
	g.SetLimit(callerCount)
	for i := range programIDs {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, time.Minute)
			defer cancel()
			var answer struct {
				ID string `json:"id"`
			}
			request := api.OpenProgram{Team: "bench-1", Agent: "judge", BudgetTokens: 20_000}
			if err := bed.Do(ctx, host.HTTPAddress, http.MethodPost, "/v1/programs", request, &answer); err != nil {
				return err
			}
			programIDs[i] = answer.ID
			call := api.Call{Key: "key-1", Kind: api.CallModel, Model: &api.ModelCall{Prompt: "judge the entry", MaxTokens: 10}}
			return bed.Do(ctx, host.HTTPAddress, http.MethodPost, "/v1/programs/"+answer.ID+"/calls", call, &api.CallAnswer{})
		})
	}
	return programIDs, g.Wait()
}

// waitServed waits until a host returns the recorded turn of a program, at most until a minute after since.
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
			return fmt.Errorf("program %s is not served by host %s within a minute: %w", id, via.Name, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
