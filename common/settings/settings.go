// Package settings reads the INI files of hyssopreeld. All wrong settings of a file are reported at once.
package settings

import (
	"fmt"
	"time"
)

// Settings contains the settings of one daemon. Sizes are in bytes.
type Settings struct {
	Host struct {
		Name          string
		FailureDomain string
		Region        string
		DataFolder    string // "" on a host that stores nothing on disk
	}
	Listen struct {
		HTTP          string
		Peer          string
		AdvertiseHTTP string // HTTP if not set
		AdvertisePeer string // Peer if not set
	}
	Platform struct {
		Address string
		Timeout time.Duration
	}
	Lease struct {
		Duration      time.Duration
		RenewInterval time.Duration
	}
	Membership struct {
		HeartbeatInterval time.Duration
		SuspicionTimeout  time.Duration
	}
	Journal struct {
		BatchInterval       time.Duration
		MaxUncommittedBytes int64
	}
	Limits struct {
		MaxBodyBytes      int64
		MaxHeaderBytes    int64
		MaxQueuedCalls    int // per program
		OrderTimeout      time.Duration
		IdleTimeout       time.Duration
		ReconcileInterval time.Duration
		DrainTimeout      time.Duration
		RequestTimeout    time.Duration
		// MemoryBytes is the memory that the process may use, and Descriptors the number of files that it may open.
		MemoryBytes int64
		Descriptors int
	}
	EventLog struct{ Path string }
	Tracing  struct {
		File         string
		OTLPEndpoint string
	}
	Log struct {
		Level  string
		Format string
	}
	Seeds struct{ Peers []string }
}

// Problem is one wrong setting.
type Problem struct {
	File    string
	Section string
	Key     string
	Value   string
	Allowed string // description of the allowed values
}

// String returns the problem as one line for operators.
func (p Problem) String() string {
	switch {
	case p.Section == "":
		return fmt.Sprintf("%s: %s: allowed: %s", p.File, p.Value, p.Allowed)
	case p.Key == "":
		return fmt.Sprintf("%s: [%s]: allowed: %s", p.File, p.Section, p.Allowed)
	}
	return fmt.Sprintf("%s: [%s] %s = %q: allowed: %s", p.File, p.Section, p.Key, p.Value, p.Allowed)
}

const (
	kilobyte = 1 << 10
	megabyte = 1 << 20
	// maxBodyLimitBytes is the upper bound of max_body: a request must fit into one journal batch.
	maxBodyLimitBytes   = 256 * kilobyte
	maxQueuedCallsLimit = 1 << 16
	maxDuration         = 24 * time.Hour
)

// Load reads the settings file of a daemon. The settings are valid only if no problems are returned.
func Load(path string) (*Settings, []Problem) {
	s := &Settings{}
	r, problems := newReader(path)
	if len(problems) > 0 {
		return s, problems
	}
	r.readDaemon(s)
	r.checkConsistency(s)
	r.reportUnknown()
	return s, r.problems
}

func (r *reader) readDaemon(s *Settings) {
	s.Host.Name = r.dnsLabel("host", "name")
	s.Host.FailureDomain = r.dnsLabel("host", "failure_domain")
	s.Host.Region = r.dnsLabel("host", "region")
	s.Host.DataFolder = r.text("host", "data_folder")

	s.Listen.HTTP = r.address("listen", "http", required, "")
	s.Listen.Peer = r.address("listen", "peer", required, "")
	s.Listen.AdvertiseHTTP = r.address("listen", "advertise_http", optional, s.Listen.HTTP)
	s.Listen.AdvertisePeer = r.address("listen", "advertise_peer", optional, s.Listen.Peer)

	s.Platform.Address = r.address("platform", "address", required, "")
	s.Platform.Timeout = r.duration("platform", "timeout", 2*time.Second)

	s.Lease.Duration = r.duration("lease", "duration", 6*time.Second)
	s.Lease.RenewInterval = r.duration("lease", "renew", 2*time.Second)

	s.Membership.HeartbeatInterval = r.duration("membership", "heartbeat", 500*time.Millisecond)
	s.Membership.SuspicionTimeout = r.duration("membership", "suspect_after", 2*time.Second)

	s.Journal.BatchInterval = r.duration("journal", "batch_interval", 5*time.Millisecond)
	s.Journal.MaxUncommittedBytes = r.size("journal", "max_unsaved", 16*megabyte, 1<<40)

	s.Limits.MaxBodyBytes = r.size("limits", "max_body", 256*kilobyte, maxBodyLimitBytes)
	s.Limits.MaxHeaderBytes = r.size("limits", "max_header", 32*kilobyte, megabyte)
	s.Limits.MaxQueuedCalls = r.count("limits", "max_queued_calls", 16, maxQueuedCallsLimit)
	s.Limits.OrderTimeout = r.duration("limits", "order_wait", 2*time.Second)
	s.Limits.IdleTimeout = r.duration("limits", "idle_timeout", 30*time.Minute)
	s.Limits.ReconcileInterval = r.duration("limits", "reconcile_every", 10*time.Second)
	s.Limits.DrainTimeout = r.duration("limits", "drain_limit", 10*time.Minute)
	s.Limits.RequestTimeout = r.duration("limits", "request_timeout", 5*time.Minute)

	s.Limits.MemoryBytes = r.size("limits", "memory", 256*megabyte, 1<<40)
	s.Limits.Descriptors = r.count("limits", "descriptors", 4096, 1<<20)

	s.EventLog.Path = r.text("event_log", "path")
	s.Tracing.File = r.text("tracing", "file")
	s.Tracing.OTLPEndpoint = r.address("tracing", "otlp_endpoint", optional, "")
	s.Log.Level = r.oneOf("log", "level", "info", "debug", "info", "warn", "error")
	s.Log.Format = r.oneOf("log", "format", "json", "json", "text")
	s.Seeds.Peers = r.addresses("seeds", "peers")
}

// checkConsistency checks settings against each other. It skips settings that are 0, which were reported before.
func (r *reader) checkConsistency(s *Settings) {
	if s.Lease.RenewInterval > 0 && s.Lease.Duration > 0 && s.Lease.RenewInterval >= s.Lease.Duration/2 {
		// A host needs time for a second attempt to renew before its lease expires.
		r.addProblem("lease", "renew", s.Lease.RenewInterval.String(), fmt.Sprintf("less than half of the lease duration (%s)", s.Lease.Duration))
	}
	if s.Membership.SuspicionTimeout > 0 && s.Membership.HeartbeatInterval > 0 && s.Membership.SuspicionTimeout <= 2*s.Membership.HeartbeatInterval {
		// One lost heartbeat must not make a host suspected.
		r.addProblem("membership", "suspect_after", s.Membership.SuspicionTimeout.String(),
			fmt.Sprintf("more than two heartbeat intervals (%s each)", s.Membership.HeartbeatInterval))
	}
	r.checkAdvertised("advertise_http", "http", s.Listen.AdvertiseHTTP)
	r.checkAdvertised("advertise_peer", "peer", s.Listen.AdvertisePeer)
}
