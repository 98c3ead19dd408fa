package api

// DiskView is what a host with a disk reports of the turns that it retains.
type DiskView struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	// Disk identifies the contents of the disk.
	Disk  string `json:"disk"`
	State string `json:"state"`
	// Complete is set once the host has had all copies that it should have.
	Complete bool  `json:"complete"`
	Turns    int   `json:"turns"`
	Bytes    int64 `json:"bytes"`
	// UsedBytes is the space that the storage engine uses, of LimitBytes.
	UsedBytes  int64 `json:"used_bytes"`
	LimitBytes int64 `json:"limit_bytes"`
	// Full is set while turns are refused.
	Full bool `json:"full"`
	// PendingCopies is the number of turns of which this host should have a copy and has none.
	PendingCopies   int          `json:"pending_copies"`
	OldestPendingMS int64        `json:"oldest_pending_ms"`
	CopiedTurns     int64        `json:"copied_turns"`
	CopiedBytes     int64        `json:"copied_bytes"`
	DamagedTurns    int          `json:"damaged_turns"`
	Hosts           []DiskMember `json:"hosts"`
}

// DiskMember is a host with a disk, as listed in the store.
type DiskMember struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
	Disk          string `json:"disk"`
	Peer          string `json:"peer"`
}
