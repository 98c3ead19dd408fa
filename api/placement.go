package api

// PlacementView is the response to GET /v1/placement at the metrics address of an entry host: where the host would send a
// request now, and why. The request is not sent.
type PlacementView struct {
	Host          string `json:"host"`
	FailureDomain string `json:"failure_domain"`
	Service       string `json:"service"`
	// TransferBytes is the expected size of the request and its response.
	TransferBytes int `json:"transfer_bytes"`
	// Choice is the server of a request that pays for its bytes if it leaves the failure domain.
	Choice PlacementChoice `json:"choice"`
	// Leaving is set if the failure domain is short of servers.
	Leaving    bool                 `json:"leaving"`
	Domains    []PlacementDomain    `json:"domains"`
	Candidates []PlacementCandidate `json:"candidates"`
}

// PlacementChoice is the result of a placement.
type PlacementChoice struct {
	// Server is empty if no server can take the request.
	Server string `json:"server"`
	// Reason says why the request goes to the server's failure domain: home, no_server, cached_prompt, shortage or faster.
	Reason string `json:"reason,omitempty"`
	// EjectedAllowed is set if only ejected servers can take the request.
	EjectedAllowed bool `json:"ejected_allowed,omitempty"`
}

// PlacementDomain is a failure domain in a PlacementView.
type PlacementDomain struct {
	Name string `json:"name"`
	// Load is the expected number of active requests at the servers, FromHome the part that hosts of this host's domain
	// sent, and Slots the number that the servers run at once.
	Load     float64 `json:"load"`
	FromHome float64 `json:"from_home"`
	Slots    float64 `json:"slots"`
	// Share is the share of this host's requests that may leave for the domain without paying for their bytes, and
	// Choice the server of such a request.
	Share  float64          `json:"share"`
	Choice *PlacementChoice `json:"choice,omitempty"`
}

// PlacementCandidate is a server in a PlacementView.
type PlacementCandidate struct {
	Server        string  `json:"server"`
	FailureDomain string  `json:"failure_domain"`
	Load          float64 `json:"load"`
	Slots         int     `json:"slots"`
	// WorkTime is how long work takes at the server now; 1 is usual, 0 is not known.
	WorkTime     float64 `json:"work_time"`
	CachedTokens int     `json:"cached_tokens"`
	// RejectedBy has the reasons for which the server cannot take the request.
	RejectedBy []string `json:"rejected_by,omitempty"`
	// CostsMS has the costs that are not 0, in milliseconds of expected delay, and TotalMS their sum.
	CostsMS map[string]float64 `json:"costs_ms"`
	TotalMS float64            `json:"total_ms"`
}
