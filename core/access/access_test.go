package access_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/core/access"
	"github.com/hyssopreel/hyssopreel/core/routing"
)

// TestMain fixes the number of checks and the seed of rapid, so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.checks": "400", "rapid.seed": "20261206", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}

func tableOf(teams ...routing.Team) *routing.Table {
	return routing.NewTable(1, nil, nil, routing.Limits{}).WithTeams(teams)
}

// Guards against a revoked key that is accepted, and an added key that is refused for good, by an old configuration.
func TestAuthorizeByAgeOfTheConfiguration(t *testing.T) {
	policy := access.Policy{MaxAge: 4 * time.Second, MaxAgeToRefuse: time.Second}
	known, unknown := routing.NewKeyID("k"), routing.NewKeyID("x")
	table := tableOf(routing.Team{Name: "blue", Keys: []routing.KeyID{known}})
	for _, c := range []struct {
		name string
		key  *routing.KeyID
		age  time.Duration
		want error
	}{
		{"known key", &known, 4 * time.Second, nil},
		{"known key, configuration too old", &known, 4*time.Second + 1, access.ErrNotConfirmed},
		{"unknown key", &unknown, time.Second, access.ErrUnauthorized},
		{"unknown key that may have been added", &unknown, time.Second + 1, access.ErrNotConfirmed},
		{"no key", nil, 0, access.ErrUnauthorized},
		{"no key, on a route that may have become anonymous", nil, 2 * time.Second, access.ErrNotConfirmed},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			team, err := policy.Authorize(table, c.key, c.age)
			if c.want != nil {
				g.Expect(err).To(MatchError(c.want))
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(team.Name).To(Equal("blue"))
		})
	}
	g := NewWithT(t)
	team, err := policy.Authorize(tableOf(), nil, time.Hour)
	g.Expect(err).NotTo(HaveOccurred(), "no teams")
	g.Expect(team).To(BeNil())
}
