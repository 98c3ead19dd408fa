package backends

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
	"github.com/hyssopreel/hyssopreel/core/membership"
	"github.com/hyssopreel/hyssopreel/core/sched"
)

const (
	// maxLoadFailures is the number of consecutive failed load polls after which a worker gets no calls.
	maxLoadFailures = 3
	// maxReportsWithoutHome is the number of consecutive cache reports after which the cache of a program without a
	// home is released. A takeover ends after fewer reports; if a home appears later, the prefix is computed again.
	maxReportsWithoutHome = 6
	// maxConcurrentReleases bounds the concurrent release requests.
	maxConcurrentReleases = 32
	// maxReleaseBackoffFactor bounds the delay between attempts, in multiples of MinReleaseBackoff.
	maxReleaseBackoffFactor = 20
	// maxResponseBytes bounds an engine's response body: 100,000 programs with cache take about 5 MB.
	maxResponseBytes = 8 << 20
)

// startDuePolls starts the load and cache polls of an engine that are due. It is called with s.mu held.
func (s *Service) startDuePolls(b objectapi.Backend, group string) {
	now := s.opts.Clock.Now()
	w := s.polledWorkers[b.Name]
	if w == nil || w.group != group {
		w = &polledWorker{group: group, nextLoadPoll: now, nextCachePoll: now.Add(jitter(s.opts.Settings.ReconcileInterval))}
		s.polledWorkers[b.Name] = w
	}
	if !w.loadPollActive && now >= w.nextLoadPoll {
		w.loadPollActive = true
		w.nextLoadPoll = now.Add(s.opts.Settings.LoadPollInterval)
		s.spawnLocked(func() { s.pollLoad(b, w) })
	}
	if !w.cachePollActive && now >= w.nextCachePoll {
		w.cachePollActive = true
		w.nextCachePoll = now.Add(s.opts.Settings.ReconcileInterval)
		s.spawnLocked(func() { s.pollCache(b, w) })
	}
}

// loadResponse is an engine's response to GET /v1/load.
type loadResponse struct {
	AgeMS       int64 `json:"age_ms"`
	Running     int   `json:"running"`
	Waiting     int   `json:"waiting"`
	CacheTokens int64 `json:"cache_tokens"`
}

// IdleAfter reports whether an engine ran no calls at some moment after the given one. Its load reports lag, so the
// result is false until the lag has passed.
func (s *Service) IdleAfter(workerName string, after time.Time) (bool, error) {
	b, ok := s.Backend(workerName)
	if !ok {
		return false, errors.Newf("worker %q is not in the platform's list", workerName)
	}
	var load loadResponse
	sentAt := time.Now()
	if err := s.sendRequest(http.MethodGet, b.Address, "/v1/load", nil, &load); err != nil {
		return false, err
	}
	measuredAt := sentAt.Add(-time.Duration(load.AgeMS) * time.Millisecond)
	return measuredAt.After(after) && load.Running == 0 && load.Waiting == 0, nil
}

func (s *Service) pollLoad(b objectapi.Backend, w *polledWorker) {
	var load loadResponse
	sentAt := s.opts.Clock.Now()
	err := s.sendRequest(http.MethodGet, b.Address, "/v1/load", nil, &load)
	s.mu.Lock()
	defer s.mu.Unlock()
	w.loadPollActive = false
	if err != nil {
		if w.loadFailures++; w.loadFailures == maxLoadFailures {
			s.log("worker_unreachable", map[string]any{"worker": b.Name, "error": err.Error()})
		}
		return
	}
	if w.loadFailures >= maxLoadFailures {
		s.log("worker_reachable", map[string]any{"worker": b.Name})
	}
	w.loadFailures, w.runningCalls, w.cacheTokens = 0, load.Running, load.CacheTokens
	if s.polledWorkers[b.Name] != w {
		return // this host no longer schedules the group
	}
	s.opts.Runtime.Publish(sched.LoadReported{
		Group: w.group, Worker: b.Name, AgeMS: load.AgeMS + s.opts.Clock.Now().Sub(sentAt).Milliseconds(),
		Running: load.Running, Waiting: load.Waiting, CacheUsedTokens: load.CacheTokens,
	})
}

// pollCache requests the programs with cache from an engine, publishes them and releases the cache of ended programs.
func (s *Service) pollCache(b objectapi.Backend, w *polledWorker) {
	var response struct {
		Programs []struct {
			Program ids.Program `json:"program"`
			Tokens  int64       `json:"tokens"`
		} `json:"programs"`
	}
	err := s.sendRequest(http.MethodGet, b.Address, "/v1/cache/programs", nil, &response)
	report := sched.CacheReported{Group: w.group, Worker: b.Name}
	programs := make([]ids.Program, 0, len(response.Programs))
	for _, p := range response.Programs {
		report.Programs = append(report.Programs, sched.ProgramCache{Program: p.Program, Tokens: p.Tokens})
		programs = append(programs, p.Program)
	}
	s.mu.Lock()
	current := err == nil && s.polledWorkers[b.Name] == w
	if current {
		s.opts.Runtime.Publish(report)
	}
	s.mu.Unlock()
	if current {
		s.reconcileCache(b.Name, w, programs)
	}
	s.mu.Lock()
	w.cachePollActive = false
	s.mu.Unlock()
}

// reconcileCache releases the cache of programs that are not open at their homes, or had no home for
// maxReportsWithoutHome reports.
func (s *Service) reconcileCache(workerName string, w *polledWorker, programs []ids.Program) {
	type batch struct {
		home     membership.Member
		programs []ids.Program
	}
	homes := map[ids.Host]*batch{}
	withoutHome := map[ids.Program]int{}
	for _, p := range programs {
		j, _, err := p.Parse()
		if err != nil {
			continue // not a program of hyssopreel
		}
		home, ok := s.opts.View.HomeOf(j)
		if !ok {
			withoutHome[p] = w.reportsWithoutHome[p] + 1
			continue
		}
		if homes[home.Name] == nil {
			homes[home.Name] = &batch{home: home}
		}
		homes[home.Name].programs = append(homes[home.Name].programs, p)
	}
	w.reportsWithoutHome = withoutHome // needs no lock: one cache poll per worker runs at a time
	for p, n := range withoutHome {
		if n >= maxReportsWithoutHome {
			s.ReleaseCache(workerName, p, nil)
		}
	}
	ctx, cancel := context.WithTimeout(s.ctx, s.opts.Settings.RequestTimeout)
	defer cancel()
	for _, b := range homes {
		states := s.opts.Hooks.OpenPrograms(ctx, b.home, b.programs)
		for _, p := range b.programs {
			if open, ok := states[p]; ok && !open {
				s.ReleaseCache(workerName, p, nil)
			}
		}
	}
}

type releaseKey struct {
	worker  string
	program ids.Program
}

// ReleaseCache drops the cache of a program on a worker. The request is repeated until the worker confirms it or is
// no longer listed; then done is called, if it is not nil. Concurrent releases of one cache share a request.
func (s *Service) ReleaseCache(workerName string, p ids.Program, done func()) {
	if done == nil {
		done = func() {}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := releaseKey{workerName, p}
	pending := s.pendingReleases[key]
	s.pendingReleases[key] = append(pending, done)
	if len(pending) == 0 {
		s.spawnLocked(func() { s.releaseWithRetry(key) })
	}
}

// PendingReleases returns the number of releases that are not yet confirmed.
func (s *Service) PendingReleases() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pendingReleases)
}

func (s *Service) releaseWithRetry(key releaseKey) {
	backoff := s.opts.Settings.MinReleaseBackoff
	for !s.tryRelease(key) {
		if !s.sleep(jitter(backoff)) {
			return
		}
		backoff = min(2*backoff, maxReleaseBackoffFactor*s.opts.Settings.MinReleaseBackoff)
	}
	s.mu.Lock()
	callbacks := s.pendingReleases[key]
	delete(s.pendingReleases, key)
	s.mu.Unlock()
	for _, done := range callbacks {
		done()
	}
}

// tryRelease sends one release request and reports whether no further attempt is needed.
func (s *Service) tryRelease(key releaseKey) bool {
	select {
	case s.releaseSlots <- struct{}{}:
		defer func() { <-s.releaseSlots }()
	case <-s.ctx.Done():
		return false
	}
	b, removed := s.lookUpWorker(key.worker)
	if removed {
		return true
	}
	if b.Name == "" {
		return false
	}
	body := struct {
		Program ids.Program `json:"program"`
	}{key.program}
	return s.sendRequest(http.MethodPost, b.Address, "/v1/cache/release", body, nil) == nil
}

// lookUpWorker returns a worker of the list; removed is true if the list doesn't contain it. Before the first list
// no worker counts as removed. Both values are read under one lock, because with a first list in between a listed
// worker would count as removed.
func (s *Service) lookUpWorker(name string) (b objectapi.Backend, removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.list[name]
	return b, !ok && s.listedAt != 0
}

// sendRequest sends a request to an engine and decodes the response of status 200 into out, if it is not nil.
func (s *Service) sendRequest(method, address, path string, body, out any) error {
	ctx, cancel := context.WithTimeout(s.ctx, s.opts.Settings.RequestTimeout)
	defer cancel()
	var payload io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return errors.Wrapf(err, "encode request body of %s", path)
		}
		payload = bytes.NewReader(b)
	}
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	req, err := http.NewRequestWithContext(ctx, method, address+path, payload)
	if err != nil {
		return errors.Wrapf(err, "create request of %s at %s", path, address)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := s.opts.Client.Do(req)
	if err != nil {
		return errors.Wrapf(err, "%s at %s", path, address)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrapf(err, "read response of %s at %s", path, address)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("%s at %s responded with status %d", path, address, resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(b, out), "decode response of %s at %s", path, address)
}
