package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/hyssopreel/hyssopreel/common/ids"
)

// cachePollInterval is the interval of the requests for the cached programs of the engines.
const cachePollInterval = 250 * time.Millisecond

// endedCacheReport describes the cache that engines still had of ended programs.
type endedCacheReport struct {
	tokenSeconds    float64
	longestStay     time.Duration // after the end of the program
	remainingTokens int           // tokens at the last poll
}

// watchEndedCache polls the engines until ctx is done. An engine that does not answer is left out of that poll.
func (r *loadRun) watchEndedCache(ctx context.Context, engines []string) endedCacheReport {
	var cache endedCacheReport
	last := time.Now()
	for sleep(ctx, cachePollInterval) {
		now := time.Now()
		cache.remainingTokens = 0
		for _, address := range engines {
			programs, err := cachedPrograms(ctx, address)
			if err != nil {
				continue
			}
			for id, tokens := range programs {
				r.mu.Lock()
				ended, ok := r.endedAt[id]
				r.mu.Unlock()
				if !ok || ended.After(now) {
					continue
				}
				cache.remainingTokens += tokens
				cache.tokenSeconds += float64(tokens) * now.Sub(last).Seconds()
				cache.longestStay = max(cache.longestStay, now.Sub(ended))
			}
		}
		last = now
	}
	return cache
}

func cachedPrograms(ctx context.Context, address string) (map[ids.Program]int, error) {
	var answer struct {
		Programs []struct {
			Program ids.Program `json:"program"`
			Tokens  int         `json:"tokens"`
		} `json:"programs"`
	}
	if err := getJSON(ctx, address, "/v1/cache/programs", &answer); err != nil {
		return nil, err
	}
	tokens := make(map[ids.Program]int, len(answer.Programs))
	for _, p := range answer.Programs {
		tokens[p.Program] = p.Tokens
	}
	return tokens, nil
}

// computedPromptTokens returns the prompt tokens that the engines have computed so far: all without those found in the
// cache.
func computedPromptTokens(ctx context.Context, engines []string) (int64, error) {
	var sum int64
	for _, address := range engines {
		var counters struct {
			Prompt int64 `json:"prompt_tokens"`
			Cached int64 `json:"cached_tokens"`
		}
		if err := getJSON(ctx, address, "/control/counters", &counters); err != nil {
			return 0, err
		}
		sum += counters.Prompt - counters.Cached
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
		return fmt.Errorf("GET http://%s%s: HTTP status %s", address, path, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(out)
}
