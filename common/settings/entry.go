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
	s.Shutdown.GracePeriod = r.duration("shutdown", "grace", 8*time.Second)

	s.Log.Level = r.oneOf("log", "level", "info", "debug", "info", "warn", "error")
	s.Log.Format = r.oneOf("log", "format", "json", "json", "text")
}
