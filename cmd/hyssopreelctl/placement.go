package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/api"
)

// maxPlacementViewBytes bounds the view of 6,000 servers of some 400 bytes each.
const maxPlacementViewBytes = 8 << 20

type explainPlacementCommand struct {
	Service      string `long:"service" required:"yes" description:"service of the request"`
	PromptTokens int    `long:"prompt-tokens" description:"prompt tokens of the request"`
	BodyBytes    int    `long:"body-bytes" description:"size of the request's body"`
	CacheServer  string `long:"cache-server" description:"ID of the server that has a part of the prompt cached"`
	CachedTokens int    `long:"cached-tokens" description:"number of tokens that it has cached"`
	Object       string `long:"object" description:"object that the request concerns, on a route that is sticky"`
	NonRetryable bool   `long:"non-retryable" description:"the request must not be sent again after a failure"`
	Args         struct {
		Address string `positional-arg-name:"ADDRESS:PORT" description:"metrics address of an entry host"`
	} `positional-args:"yes" required:"yes"`
}

func (c *explainPlacementCommand) run(a *app) error {
	query := url.Values{
		"service": {c.Service}, "prompt_tokens": {strconv.Itoa(c.PromptTokens)}, "body_bytes": {strconv.Itoa(c.BodyBytes)},
		"object": {c.Object}, "cache_server": {c.CacheServer}, "cached_tokens": {strconv.Itoa(c.CachedTokens)}, "non_retryable": {strconv.FormatBool(c.NonRetryable)},
	}
	request, err := http.NewRequestWithContext(a.ctx, http.MethodGet, "http://"+c.Args.Address+"/v1/placement?"+query.Encode(), nil)
	if err != nil {
		return usageErrorf("address %q of an entry host: %s", c.Args.Address, err)
	}
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "ask the entry host at %s", c.Args.Address)
	}
	defer func() { _ = resp.Body.Close() }()
	body := io.LimitReader(resp.Body, maxPlacementViewBytes)
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(body) // what could not be read is missing in the error
		return errors.Newf("ask the entry host at %s: %s: %s; is this its metrics address?", c.Args.Address, resp.Status, strings.TrimSpace(string(text)))
	}
	var v api.PlacementView
	if err := json.NewDecoder(body).Decode(&v); err != nil {
		return errors.Wrapf(err, "decode the answer of the entry host at %s", c.Args.Address)
	}
	return printPlacement(a, v)
}

func printPlacement(a *app, v api.PlacementView) error {
	if a.Output != "json" {
		lines := []string{fmt.Sprintf("%s in domain %s: %s, for %d bytes", v.Host, v.FailureDomain, formatChoice(v.Choice), v.TransferBytes)}
		for _, d := range v.Domains {
			line := fmt.Sprintf("domain %s: %.1f requests for %.0f slots, %.1f from domain %s", d.Name, d.Load, d.Slots, d.FromHome, v.FailureDomain)
			if d.Choice != nil {
				line += fmt.Sprintf("; a share of %.2f may leave for it: %s", d.Share, formatChoice(*d.Choice))
			}
			lines = append(lines, line)
		}
		if _, err := fmt.Fprintln(a.stdout, strings.Join(lines, "\n")); err != nil {
			return err
		}
	}
	return a.printResult(v, "SERVER DOMAIN LOAD SLOTS WORK-TIME CACHED COST-MS COSTS REJECTED", func(add func(cells ...any)) {
		for _, c := range v.Candidates {
			var costs []string
			for _, name := range slices.Sorted(maps.Keys(c.CostsMS)) {
				costs = append(costs, fmt.Sprintf("%s=%.1f", strings.ReplaceAll(name, " ", "-"), c.CostsMS[name]))
			}
			add(c.Server, c.FailureDomain, fmt.Sprintf("%.1f", c.Load), c.Slots, fmt.Sprintf("%.2f", c.WorkTime), c.CachedTokens,
				fmt.Sprintf("%.1f", c.TotalMS), strings.Join(costs, ","), strings.Join(c.RejectedBy, ","))
		}
	})
}

func formatChoice(c api.PlacementChoice) string {
	switch {
	case c.Server == "":
		return "no server can take the request"
	case c.EjectedAllowed:
		return fmt.Sprintf("server %s (%s; only ejected servers are left)", c.Server, c.Reason)
	}
	return fmt.Sprintf("server %s (%s)", c.Server, c.Reason)
}
