package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/hyssopreel/hyssopreel/common/ids"
)

// cachePollInterval is how often the engines are asked which programs hold cache.
const cachePollInterval = 250 * time.Millisecond

// endedCacheReport is the cache that engines held of programs that had ended.
type endedCacheReport struct {
	tokenSeconds    float64
	longestHold     time.Duration
	remainingTokens int // tokens at the last look
}

// watchEndedCache looks at the engines until ctx is done.
func (r *loadRun) watchEndedCache(ctx context.Context, engines []string) endedCacheReport {
	var out endedCacheReport
	last := time.Now()
	for sleep(ctx, cachePollInterval) {
		now := time.Now()
		out.remainingTokens = 0
		for _, address := range engines {
			programs, err := cachedPrograms(ctx, address)
			if err != nil {
				continue // the report of the engine is missing from this look
			}
			for id, tokens := range programs {
				r.mu.Lock()
				ended, ok := r.endedAt[id]
				r.mu.Unlock()
				if !ok || ended.After(now) {
					continue
				}
				out.remainingTokens += tokens
				out.tokenSeconds += float64(tokens) * now.Sub(last).Seconds()
				out.longestHold = max(out.longestHold, now.Sub(ended))
			}
		}
		last = now
	}
	return out
}

func cachedPrograms(ctx context.Context, address string) (map[ids.Program]int, error) {
	var a struct {
		Programs []struct {
			Program ids.Program `json:"program"`
			Tokens  int         `json:"tokens"`
		} `json:"programs"`
	}
	if err := getJSON(ctx, address, "/v1/cache/programs", &a); err != nil {
		return nil, err
	}
	out := make(map[ids.Program]int, len(a.Programs))
	for _, p := range a.Programs {
		out[p.Program] = p.Tokens
	}
	return out, nil
}

// computedPromptTokens is what the engines computed of prompts so far: all prompt tokens without those from the cache.
func computedPromptTokens(ctx context.Context, engines []string) (int64, error) {
	var sum int64
	for _, address := range engines {
		var c struct {
			Prompt int64 `json:"prompt_tokens"`
			Cached int64 `json:"cached_tokens"`
		}
		if err := getJSON(ctx, address, "/control/counters", &c); err != nil {
			return 0, err
		}
		sum += c.Prompt - c.Cached
	}
	return sum, nil
}

func getJSON(ctx context.Context, address, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s%s: %s", address, path, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(out)
}
