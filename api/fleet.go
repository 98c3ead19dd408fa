package api

// FleetView is the response to GET /v1/fleet at the metrics address of an entry host: what the host knows of the fleet.
type FleetView struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	// InMesh is set if the host exchanges heartbeats with all other hosts that have a role.
	InMesh bool `json:"in_mesh"`
	// Slots is the number of requests that all backend servers can run at once.
	Slots   int            `json:"slots"`
	Members []FleetMember  `json:"members"`
	Kinds   []FollowedKind `json:"kinds"`
	// RateLimits holds the backend servers that name a rate limit, sorted by ID.
	RateLimits []RateLimit `json:"rate_limits"`
	// Quarantined holds the requests that are refused because they end the backend servers that run them, the newest first,
	// at most 100.
	Quarantined []QuarantinedRequest `json:"quarantined"`
	// ConfirmedMS is the time since the host's configuration was known to be the newest one, in milliseconds; -1 if it never
	// was, or callers need no API keys.
	ConfirmedMS int64 `json:"confirmed_ms"`
	// Teams holds the teams with a quota whose requests the host handled lately or whose accounts it keeps, sorted by name,
	// at most 100.
	Teams []TeamQuota `json:"teams"`
}

// TeamQuota is what an entry host knows of a team's quota, in a FleetView.
type TeamQuota struct {
	Team string `json:"team"`
	// Keys holds the fingerprints of the team's API keys.
	Keys []string `json:"keys"`
	// PerSecond and Burst are the quota over all hosts, in requests.
	PerSecond float64 `json:"per_second"`
	Burst     float64 `json:"burst"`
	// Keeper is the name of the host that last granted tokens to this one; empty if none did.
	Keeper string `json:"keeper"`
	// Used and Refused count the team's requests at this host since it first saw the team or forgot it.
	Used    int `json:"used"`
	Refused int `json:"refused"`
	// Tokens is the balance of the account if this host keeps it, otherwise -1.
	Tokens float64 `json:"tokens"`
}

// QuarantinedRequest is a request, or all requests with a common prefix, in a FleetView.
type QuarantinedRequest struct {
	Fingerprint string `json:"fingerprint"`
	// Prefix is set if the fingerprint is that of a prefix.
	Prefix bool `json:"prefix"`
	// Servers holds the IDs of the backend servers that ended.
	Servers []string `json:"servers"`
	// EndedMS is the time since a server last ended, in milliseconds; the request is refused for ten minutes from then on.
	EndedMS int64 `json:"ended_ms"`
}

// RateLimit is the rate limit of a backend server in a FleetView.
type RateLimit struct {
	Server  string `json:"server"`
	Service string `json:"service"`
	// PerSecond is the number of requests per second that the server takes from all hosts together.
	PerSecond float64 `json:"per_second"`
	// NamedMS is the age of the last response that named it, in milliseconds.
	NamedMS int64 `json:"named_ms"`
	// Owner is the name of the host that grants the requests; empty if there is none, so that the server gets none.
	Owner string `json:"owner"`
}

// States of a FleetMember.
const (
	MemberUp          = "up"
	MemberDraining    = "draining"
	MemberUnreachable = "unreachable"
)

// FleetMember is one entry host in a FleetView.
type FleetMember struct {
	Name          string `json:"name"`
	Incarnation   string `json:"incarnation"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
	// StateForMS is how long the host has been unreachable or, if it is reachable, listed; in milliseconds.
	StateForMS int64 `json:"state_for_ms"`
	// Active is set if callers are directed to the host, Home if it accounts for programs, and Watcher if it watches the
	// store.
	Active  bool `json:"active"`
	Home    bool `json:"home"`
	Watcher bool `json:"watcher"`
	// HeardMS is the age of its last heartbeat and LoadMS that of its last report of active requests, in milliseconds; -1
	// if there is none.
	HeardMS int64 `json:"heard_ms"`
	LoadMS  int64 `json:"load_ms"`
}

// FollowedKind is a kind of objects of the store in a FleetView.
type FollowedKind struct {
	Kind string `json:"kind"`
	// Source is "store", or the address of the peer whose copy is followed.
	Source string `json:"source"`
	// Revision is that of the newest object, and AnsweredMS the age of the last answer in milliseconds; -1 if there is
	// none.
	Revision   uint64 `json:"revision"`
	AnsweredMS int64  `json:"answered_ms"`
}
