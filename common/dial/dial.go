// Package dial opens TCP connections that detect an unresponsive peer within a few seconds.
package dial

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// keepAliveInterval is the idle time before the first keep-alive probe, and the time between probes.
	keepAliveInterval = 500 * time.Millisecond
	// keepAliveProbes is the number of unanswered probes after which the connection fails: 2 s without any packet from
	// the peer in total.
	keepAliveProbes = 3
	// tcpUserTimeout bounds how long sent bytes may stay unacknowledged; it equals the total time of the probes.
	tcpUserTimeout = 2 * time.Second
)

// New returns a dialer with the given connect timeout. Its connections fail about 2 s after the last packet from the
// peer.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         setTCPUserTimeout,
	}
}

func setTCPUserTimeout(network, address string, conn syscall.RawConn) error {
	var err error
	if controlErr := conn.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	}); controlErr != nil {
		return controlErr
	}
	return errors.Wrapf(err, "set TCP_USER_TIMEOUT for %s %s", network, address)
}

// IsRefused reports whether connections to the address are refused now: nothing listens there any more. A peer that does
// not answer within the timeout refuses nothing.
func IsRefused(address string, timeout time.Duration) bool {
	conn, err := New(timeout).Dial("tcp", address)
	if err == nil {
		_ = conn.Close() // nothing was sent
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
