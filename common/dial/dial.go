// Package dial opens TCP connections whose silent loss is noticed within a few seconds.
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
	// keepAliveProbes is the number of unanswered probes after which the connection is closed: 2 s of silence in all.
	keepAliveProbes = 3
	// tcpUserTimeout bounds how long written bytes may stay unacknowledged; it matches the keep-alive probes.
	tcpUserTimeout = 2 * time.Second
)

// New returns a dialer whose connections fail after about 2 s without any sign of the other side.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         setTCPUserTimeout,
	}
}

func setTCPUserTimeout(network, address string, c syscall.RawConn) error {
	var err error
	if e := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	}); e != nil {
		return e
	}
	return errors.Wrapf(err, "set TCP_USER_TIMEOUT for %s %s", network, address)
}
