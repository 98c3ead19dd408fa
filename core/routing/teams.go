package routing

import (
	"crypto/sha256"
	"encoding/hex"
)

// KeyID identifies an API key of a caller without revealing it: the key itself is kept nowhere.
type KeyID [sha256.Size]byte

// NewKeyID returns the ID of a key.
func NewKeyID(key string) KeyID { return sha256.Sum256([]byte(key)) }

// fingerprintBytes is the part of a KeyID that operators and logs are shown.
const fingerprintBytes = 4

// Fingerprint returns the part of the ID that may be shown to operators.
func (k KeyID) Fingerprint() string { return hex.EncodeToString(k[:fingerprintBytes]) }

// Team is a group of callers that share API keys and a quota.
type Team struct {
	Name string
	Keys []KeyID
	// Priority takes precedence over the priority of a route if HasPriority is set; 0 is the most urgent.
	Priority    int
	HasPriority bool
	// RatePerSecond and Burst are the team's quota of requests over all hosts; a rate of 0 is no quota.
	RatePerSecond float64
	Burst         float64
}

// WithTeams returns the table with the teams of the configuration. Callers need a key if there are any.
func (t *Table) WithTeams(teams []Team) *Table {
	out := *t
	out.teams = make(map[string]*Team, len(teams))
	out.teamsByKey = map[KeyID]*Team{}
	for i := range teams {
		team := &teams[i]
		out.teams[team.Name] = team
		for _, key := range team.Keys {
			out.teamsByKey[key] = team
		}
	}
	return &out
}

// HasTeams reports whether callers need an API key on routes that are not anonymous.
func (t *Table) HasTeams() bool { return len(t.teams) > 0 }

// Team returns the team with that name, or nil.
func (t *Table) Team(name string) *Team { return t.teams[name] }

// TeamOfKey returns the team that holds the key, or nil.
func (t *Table) TeamOfKey(key KeyID) *Team { return t.teamsByKey[key] }
