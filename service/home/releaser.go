package home

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/core/program"
)

// releaseEvery is the pause between two tries to release the cache of ended programs.
const releaseEvery = time.Second

// releaser drops the cache of ended programs on the workers that served them, and repeats it until the
// worker confirms. A worker that has left the platform's list holds nothing any more.
type releaser struct {
	resolver Resolver
	done     func(program.CacheReleased)
	client   *http.Client
	wake     chan struct{}

	mu      sync.Mutex
	pending map[program.ReleaseCache]struct{}
}

func newReleaser(resolver Resolver, done func(program.CacheReleased)) *releaser {
	return &releaser{
		resolver: resolver, done: done, client: httpClient(),
		wake: make(chan struct{}, 1), pending: map[program.ReleaseCache]struct{}{},
	}
}

func (r *releaser) start(e program.ReleaseCache) {
	r.mu.Lock()
	r.pending[e] = struct{}{}
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *releaser) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-time.After(releaseEvery):
		}
		r.releaseAll(ctx)
	}
}

// releaseAll tries each pending release once, several at a time so that a hung worker does not hold up the
// others for long.
func (r *releaser) releaseAll(ctx context.Context) {
	const parallel = 16
	var g errgroup.Group
	g.SetLimit(parallel)
	for _, e := range r.snapshot() {
		g.Go(func() error {
			if r.release(ctx, e) {
				r.mu.Lock()
				delete(r.pending, e)
				r.mu.Unlock()
				r.done(program.CacheReleased{Program: e.Program, Worker: e.Worker})
			}
			return nil
		})
	}
	_ = g.Wait()
}

func (r *releaser) snapshot() []program.ReleaseCache {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]program.ReleaseCache, 0, len(r.pending))
	for e := range r.pending {
		out = append(out, e)
	}
	return out
}

func (r *releaser) release(ctx context.Context, e program.ReleaseCache) bool {
	address, ok := r.resolver.Address(e.Worker)
	if !ok {
		return r.resolver.Listed()
	}
	return ReleaseCache(ctx, r.client, address, e.Program) == nil
}

// ReleaseCache asks an engine to drop the cache of a program.
func ReleaseCache(ctx context.Context, c *http.Client, address string, id ids.Program) error {
	body, err := json.Marshal(struct {
		Program ids.Program `json:"program"`
	}{id})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/cache/release", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return &releaseError{status: resp.Status}
	}
	return nil
}

type releaseError struct{ status string }

func (e *releaseError) Error() string { return "engine did not release the cache: " + e.status }
