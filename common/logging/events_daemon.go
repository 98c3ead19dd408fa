package logging

// Events of the daemon, 1000 to 1099.
var (
	DaemonStarted        = Declare(1000, Info, "host started", "host", "journal")
	DaemonDraining       = Declare(1001, Info, "host is shutting down", "host")
	DaemonStopped        = Declare(1002, Info, "host stopped", "host", "ms")
	DaemonFenced         = Declare(1003, Warning, "programs of this incarnation were taken over; a new incarnation starts", "host", "reason")
	DaemonDrainFailed    = Declare(1004, Warning, "peers could not be told of the drain", "error")
	DaemonHandoverFailed = Declare(1005, Warning, "no heir took the programs over; the lease lapses instead", "error")
	DaemonFailed         = Declare(1006, Error, "host failed", "error")
	LinesDropped         = Declare(1007, Warning, "log lines were dropped to keep the log's volume bounded", "lines")
	HomeLeftRequests     = Declare(1008, Warning, "requests that waited when the incarnation ended were answered as moved", "journal", "requests")
	DaemonUnknownEvent   = Declare(1099, Error, "event without a declaration", "name")
)
