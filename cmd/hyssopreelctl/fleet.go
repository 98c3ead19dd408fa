package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/api"
)

// maxFleetViewBytes bounds the view of one host: about 300 bytes for each of some thousand hosts.
const maxFleetViewBytes = 4 << 20

type fleetCommand struct {
	Args struct {
		Addresses []string `positional-arg-name:"ADDRESS:PORT" required:"1" description:"metrics addresses of entry hosts; with several, their views are compared"`
	} `positional-args:"yes" required:"yes"`
}

// fleetDifference is a host of which several views differ.
type fleetDifference struct {
	Name string `json:"name"`
	// Views holds what each host reports of it, by the reporting host.
	Views map[string]string `json:"views"`
}

func (c *fleetCommand) run(a *app) error {
	var views []api.FleetView
	for _, address := range c.Args.Addresses {
		v, err := getFleetView(a, address)
		if err != nil {
			return err
		}
		views = append(views, v)
	}
	if len(views) == 1 {
		return printFleetView(a, views[0])
	}
	differences := compareFleetViews(views)
	if a.Output != "json" && len(differences) == 0 {
		return a.printConfirmation("%d hosts have the same view of %d hosts", len(views), len(views[0].Members))
	}
	return a.printResult(differences, "HOST SEEN-BY STATE", func(add func(cells ...any)) {
		for _, d := range differences {
			for _, v := range views {
				add(d.Name, v.Host, d.Views[v.Host])
			}
		}
	})
}

func getFleetView(a *app, address string) (api.FleetView, error) {
	var v api.FleetView
	request, err := http.NewRequestWithContext(a.ctx, http.MethodGet, "http://"+address+"/v1/fleet", nil)
	if err != nil {
		return v, usageErrorf("address %q of an entry host: %s", address, err)
	}
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		return v, errors.Wrapf(err, "get the view of the entry host at %s", address)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return v, errors.Newf("get the view of the entry host at %s: %s; is this its metrics address?", address, resp.Status)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxFleetViewBytes)).Decode(&v)
	return v, errors.Wrapf(err, "decode the view of the entry host at %s", address)
}

func printFleetView(a *app, v api.FleetView) error {
	if a.Output != "json" {
		for _, k := range v.Kinds {
			if _, err := fmt.Fprintf(a.stdout, "%s: revision %d from %s, %s ago\n", k.Kind, k.Revision, k.Source, formatAge(k.AnsweredMS)); err != nil {
				return err
			}
		}
		for _, l := range v.RateLimits {
			owner := cmp.Or(l.Owner, "no host")
			if _, err := fmt.Fprintf(a.stdout, "server %s of %s: %g requests/s, named %s ago, granted by %s\n", l.Server, l.Service, l.PerSecond, formatAge(l.NamedMS), owner); err != nil {
				return err
			}
		}
		if v.ConfirmedMS > 0 {
			if _, err := fmt.Fprintf(a.stdout, "configuration confirmed %s ago\n", formatAge(v.ConfirmedMS)); err != nil {
				return err
			}
		}
		for _, t := range v.Teams {
			if _, err := fmt.Fprintln(a.stdout, formatTeam(t)); err != nil {
				return err
			}
		}
		for _, q := range v.Quarantined {
			what := "request"
			if q.Prefix {
				what = "requests with prefix"
			}
			if _, err := fmt.Fprintf(a.stdout, "quarantined: %s %s, which ended %s, the last one %s ago\n", what, q.Fingerprint, strings.Join(q.Servers, ", "), formatAge(q.EndedMS)); err != nil {
				return err
			}
		}
	}
	return a.printResult(v, "HOST DOMAIN STATE FOR ROLES HEARD LOAD", func(add func(cells ...any)) {
		for _, m := range v.Members {
			add(m.Name, m.FailureDomain, m.State, formatAge(m.StateForMS), fleetRoles(m), formatAge(m.HeardMS), formatAge(m.LoadMS))
		}
	})
}

// formatTeam describes a team's quota in one line.
func formatTeam(t api.TeamQuota) string {
	line := fmt.Sprintf("team %s (keys %s): %g requests/s, burst %g; %d used and %d refused here, granted by %s",
		t.Team, strings.Join(t.Keys, ", "), t.PerSecond, t.Burst, t.Used, t.Refused, cmp.Or(t.Keeper, "no host"))
	if t.Tokens >= 0 {
		line += fmt.Sprintf("; account kept here, %.0f tokens", t.Tokens)
	}
	return line
}

func formatAge(ms int64) string {
	if ms < 0 {
		return ""
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

func fleetRoles(m api.FleetMember) string {
	var roles []string
	for _, r := range []struct {
		has  bool
		name string
	}{{m.Active, "active"}, {m.Home, "home"}, {m.Watcher, "watcher"}} {
		if r.has {
			roles = append(roles, r.name)
		}
	}
	return strings.Join(roles, ",")
}

// compareFleetViews returns the hosts whose state, incarnation or roles differ between the views, sorted by name.
func compareFleetViews(views []api.FleetView) []fleetDifference {
	byName := map[string]map[string]string{}
	for _, v := range views {
		for _, m := range v.Members {
			if byName[m.Name] == nil {
				byName[m.Name] = map[string]string{}
			}
			byName[m.Name][v.Host] = strings.TrimSuffix(m.State+" "+m.Incarnation+" "+fleetRoles(m), " ")
		}
	}
	differences := []fleetDifference{}
	for name, reports := range byName {
		for _, v := range views {
			if _, ok := reports[v.Host]; !ok {
				reports[v.Host] = "not listed"
			}
		}
		if len(distinctValues(reports)) > 1 {
			differences = append(differences, fleetDifference{Name: name, Views: reports})
		}
	}
	slices.SortFunc(differences, func(x, y fleetDifference) int { return strings.Compare(x.Name, y.Name) })
	return differences
}

func distinctValues(m map[string]string) map[string]bool {
	out := map[string]bool{}
	for _, v := range m {
		out[v] = true
	}
	return out
}
