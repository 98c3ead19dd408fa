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
