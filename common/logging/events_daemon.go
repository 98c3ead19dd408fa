package logging

// Events of the daemon, 1000 to 1099.
var (
	DaemonStarted        = Declare(1000, Info, "host started", "host", "journal")
	DaemonDraining       = Declare(1001, Info, "host is shutting down", "host")
	DaemonStopped        = Declare(1002, Info, "host stopped", "host", "ms")
	DaemonFenced         = Declare(1003, Warning, "programs of this incarnation were taken over; the host starts a new incarnation", "host", "reason")
	DaemonDrainFailed    = Declare(1004, Warning, "peers could not be informed that this host is draining", "error")
	DaemonHandoverFailed = Declare(1005, Warning, "no successor adopted the programs; the lease expires instead", "error")
	DaemonFailed         = Declare(1006, Error, "host failed", "error")
	LinesDropped         = Declare(1007, Warning, "log lines were dropped to bound the volume of the log", "lines")
	WaitingRequestsMoved = Declare(1008, Warning, "requests that waited at the end of the incarnation were answered as moved", "journal", "requests")
	UndeclaredEvent      = Declare(1099, Error, "undeclared event", "name")
)
