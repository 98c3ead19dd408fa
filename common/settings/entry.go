package settings

import "time"

// EntryHost contains the settings of an entry host, which serves callers on the platform, or of a host with a disk
// there. Sizes are in bytes.
type EntryHost struct {
	Host struct {
		Name          string
		FailureDomain string
		Region        string
		// FirstStart is set while the whole deployment starts for the first time.
		FirstStart bool
	}
	Listen struct {
		// Callers, Ready and Directory are "" on a host that serves no callers.
		Callers   string
		Ready     string
		Directory string
		Peer      string
		Metrics   string
	}
	Platform struct {
		Address string
		Timeout time.Duration
		// MaxWatchWait bounds how long one watch request waits for changes.
		MaxWatchWait time.Duration
		// ListInterval is the interval of the lists by the host that lists for all hosts. A stale watch is detected
		// after at most this interval. That host and its followers learn of a deleted object from the list, which must
		// be within a second.
		ListInterval time.Duration
	}
	// Seeds are the peers that a starting host contacts while the platform's store is unavailable.
	Seeds struct{ Peers []string }

	Limits struct {
		MemoryBytes int64
		// Cores is the processor time that the process may use, in cores of normal speed.
		Cores float64
		// LinkMbps is the bandwidth of the host's link in Mbit/s; 0 if it is unknown.
		LinkMbps float64
		// Descriptors is the number of file descriptors that the process may open.
		Descriptors int
	}
	// Disk describes the data folder of a host with a disk.
	Disk struct {
		// Path is "" on a host without a disk.
		Path  string
		Bytes int64
	}
	// Promises are the bounds in which the deployment's promises must hold; a bound of 0 does not apply there.
	Promises struct {
		// TolerableHostLosses is the number of hosts with a disk that may be lost at the same time.
		TolerableHostLosses int
		// RecoveryDelay is the time after its start from which a host with a disk no longer counts as lost, so that the copies of
		// its turns must be there again.
		RecoveryDelay time.Duration
		// RevocationDelay is the time after which a revoked API key must no longer be accepted.
		RevocationDelay time.Duration
		// ConfigDelay is the time after which a configuration must be in force everywhere.
		ConfigDelay time.Duration
		// DrainDelay is the time after which a server that leaves must get no new requests.
		DrainDelay time.Duration
		// StableDelay is the time after a disruption from which time bounds hold again.
		StableDelay time.Duration
		// QuotaWindow is the length of any interval in which a team's quota must hold. The requests in it may exceed what the
		// quota allows by the fraction QuotaTolerance and by QuotaSlack requests.
		QuotaWindow    time.Duration
		QuotaTolerance float64
		QuotaSlack     float64
	}
	Shutdown struct {
		// GracePeriod is the time between SIGTERM and the end of the process that the platform forces.
		GracePeriod time.Duration
	}
	Log struct {
		Level  string
		Format string
	}
}

// DefaultRecoveryDelay applies where a deployment does not say how fast copies must be made again.
const DefaultRecoveryDelay = 6 * time.Second

// LoadEntryHost reads the settings file of an entry host. The settings are valid only if no problems are returned.
func LoadEntryHost(path string) (*EntryHost, []Problem) {
	s := &EntryHost{}
	r, problems := newReader(path)
	if len(problems) > 0 {
		return s, problems
	}
	r.readEntryHost(s)
	r.reportUnknown()
	return s, r.problems
}

func (r *reader) readEntryHost(s *EntryHost) {
	s.Host.Name = r.dnsLabel("host", "name")
	s.Host.FailureDomain = r.dnsLabel("host", "failure_domain")
	s.Host.Region = r.dnsLabel("host", "region")
	s.Host.FirstStart = r.oneOf("host", "first_start", "false", "false", "true") == "true"

	s.Listen.Callers = r.address("listen", "callers", optional, "")
	s.Listen.Ready = r.address("listen", "ready", optional, "")
	s.Listen.Directory = r.address("listen", "directory", optional, "")
	s.Listen.Peer = r.address("listen", "peer", optional, "")
	s.Listen.Metrics = r.address("listen", "metrics", required, "")

	s.Platform.Address = r.address("platform", "address", required, "")
	s.Platform.Timeout = r.duration("platform", "timeout", time.Second)
	s.Platform.MaxWatchWait = r.duration("platform", "watch", 25*time.Second)

	s.Platform.ListInterval = r.duration("platform", "poll", 800*time.Millisecond)
	s.Seeds.Peers = r.addresses("seeds", "peers")
	s.Limits.MemoryBytes = r.size("limits", "memory", 128*megabyte, 1<<40)
	s.Limits.Cores = r.number("limits", "cores", 1, 1024) * r.number("limits", "cores_share", 1, 1)
	s.Limits.LinkMbps = r.number("limits", "link_mbps", 0, 1e6)
	s.Limits.Descriptors = r.count("limits", "descriptors", 4096, 1<<20)

	s.Disk.Path = r.text("disk", "path")
	s.Disk.Bytes = r.size("disk", "size", 256*megabyte, 1<<50)

	s.Promises.TolerableHostLosses = int(r.number("promises", "host_losses", 0, 16))
	s.Promises.RecoveryDelay = r.duration("promises", "recovery", DefaultRecoveryDelay)
	s.Promises.RevocationDelay = r.duration("promises", "revocation", 0)
	s.Promises.ConfigDelay = r.duration("promises", "configuration", 2*time.Second)
	s.Promises.DrainDelay = r.duration("promises", "drain", 2*time.Second)
	s.Promises.StableDelay = r.duration("promises", "stable", 3*time.Second)
	s.Promises.QuotaWindow = r.duration("promises", "quota_window", 0)
	s.Promises.QuotaTolerance = r.number("promises", "quota_tolerance", 0, 1)
	s.Promises.QuotaSlack = r.number("promises", "quota_slack", 0, 1e6)
	s.Shutdown.GracePeriod = r.duration("shutdown", "grace", 8*time.Second)

	s.Log.Level = r.oneOf("log", "level", "info", "debug", "info", "warn", "error")
	s.Log.Format = r.oneOf("log", "format", "json", "json", "text")
}
