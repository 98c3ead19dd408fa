package ingress

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hyssopreel/hyssopreel/common/settings"
	"github.com/hyssopreel/hyssopreel/service/memlimit"
)

const (
	// reservedDescriptors are left for files, the store, peers, operators and the readiness check.
	reservedDescriptors = 200
	// callerDescriptorFraction and directoryDescriptorFraction are the parts of the other descriptors for the connections of
	// callers and of clients of the directory. Nearly each active request of a caller needs another one for its backend
	// server.
	callerDescriptorFraction    = 0.45
	directoryDescriptorFraction = 0.1
	// maxReadyConns and maxMetricsConns bound the connections of the readiness check and of operators.
	maxReadyConns   = 24
	maxMetricsConns = 24
	// receiveBufferBytes is the kernel's receive buffer of a connection. Its bytes count as memory of the process. The kernel
	// doubles the value; half of that holds 0.5 s of a sender at 2 Mbit/s, or a round trip of 5 ms at 100 Mbit/s.
	receiveBufferBytes = 32 << 10
	// unreadFraction is the part of the memory that callers' bytes may use that have arrived and were not read.
	unreadFraction = 0.06
	// sendBufferBytes is the kernel's send buffer of a connection.
	sendBufferBytes = 128 << 10
	// writeStallTimeout is how long a caller may leave a response unread before its connection is closed.
	writeStallTimeout = 30 * time.Second
	// smallReceiveBufferBytes holds the largest head at the ports that serve GET requests.
	smallReceiveBufferBytes = 8 << 10
	// peerBytes bounds the large frames of peers that are read or handled at the same time, and maxPeerLinks the connections
	// from peers: a fleet of 370 hosts needs one from each.
	peerBytes    = 8 << 20
	maxPeerLinks = 512
	// The memory for clients at the other ports.
	directoryBytes = 3 << 20
	readyBytes     = 1 << 20
	metricsBytes   = 1 << 20
	// maxGetHeadBytes bounds a head at these ports, and getTimeout the time for a request and its response there.
	maxGetHeadBytes = 4 << 10
	getTimeout      = 10 * time.Second
)

// hostLimits bounds what clients make the host hold, for each of its ports.
type hostLimits struct {
	callers, directory, ready, metrics *memlimit.Limiter
	// callerSizer sets the memory for callers.
	callerSizer *memlimit.Sizer
}

func newHostLimits(s *settings.EntryHost, scope tally.Scope) *hostLimits {
	descriptors := float64(max(s.Limits.Descriptors-reservedDescriptors, reservedDescriptors))
	newLimiter := func(name string, o memlimit.Options) *memlimit.Limiter {
		o.Name, o.Scope = name, scope.Tagged(map[string]string{"port": name})
		return memlimit.New(o)
	}
	limits := &hostLimits{
		callers: newLimiter("callers", memlimit.Options{
			MaxConns:           int(descriptors * callerDescriptorFraction),
			ReceiveBufferBytes: receiveBufferBytes, SendBufferBytes: sendBufferBytes, BodyStallTimeout: defaultHeaderTimeout, WriteStallTimeout: writeStallTimeout,
			UnreadBytes: int64(float64(s.Limits.MemoryBytes) * unreadFraction),
		}),
		directory: newLimiter("directory", memlimit.Options{
			Bytes: directoryBytes, MaxConns: int(descriptors * directoryDescriptorFraction), ReceiveBufferBytes: smallReceiveBufferBytes,
		}),
		ready:   newLimiter("ready", memlimit.Options{Bytes: readyBytes, MaxConns: maxReadyConns, ReceiveBufferBytes: smallReceiveBufferBytes}),
		metrics: newLimiter("metrics", memlimit.Options{Bytes: metricsBytes, MaxConns: maxMetricsConns, ReceiveBufferBytes: smallReceiveBufferBytes}),
	}
	limits.callerSizer = memlimit.NewSizer(limits.callers, s.Limits.MemoryBytes)
	return limits
}

// newLimitedServer returns a server for a listener of a memlimit.Limiter.
func newLimitedServer(address string, handler http.Handler) *http.Server {
	return &http.Server{
		Addr: address, Handler: handler, ConnContext: memlimit.ConnContext, ConnState: memlimit.ConnState,
		ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
	}
}

// newGetServer returns a server for requests without bodies.
func newGetServer(address string, handler http.Handler) *http.Server {
	s := newLimitedServer(address, handler)
	s.MaxHeaderBytes, s.ReadTimeout, s.WriteTimeout = maxGetHeadBytes, getTimeout, getTimeout
	return s
}
