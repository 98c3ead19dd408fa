// Package linkproxy is a TCP relay that tests put between two processes to reset their connections or to drop the bytes.
package linkproxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/go-chi/chi/v5"

	"github.com/hyssopreel/hyssopreel/standin/internal/control"
)

const (
	dialTimeout = 2 * time.Second
	// listenRetryDelay and listenAttempts bound the time for which Restore waits until the port is free again.
	listenRetryDelay = 20 * time.Millisecond
	listenAttempts   = 50
	bufferBytes      = 32 << 10
)

// Proxy relays connections from its address to a target.
type Proxy struct {
	target string
	addr   string

	mu          sync.Mutex
	listener    net.Listener // nil between Cut and Restore
	connections map[*connection]struct{}
	closed      bool
}

// connection is a relayed connection. Both TCP connections are closed when relay returns.
type connection struct {
	caller net.Conn
	target net.Conn
	silent atomic.Bool
}

// State is the response of GET /control/state.
type State struct {
	Cut               bool `json:"cut"`
	Connections       int  `json:"links"`  // open connections, silent ones included
	SilentConnections int  `json:"silent"` // open connections that drop all bytes
}

// Listen starts a relay from a TCP address to the target. The caller must Close it.
func Listen(address, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("start link proxy to %s: %w", target, err)
	}
	p := &Proxy{target: target, addr: l.Addr().String(), listener: l, connections: map[*connection]struct{}{}}
	go p.accept(l)
	return p, nil
}

// Addr returns the address on which the relay listens.
func (p *Proxy) Addr() string { return p.addr }

// Cut resets all connections and stops listening until Restore.
func (p *Proxy) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		p.listener.Close()
		p.listener = nil
	}
	for conn := range p.connections {
		conn.reset()
	}
}

// Silence drops all further bytes of the open connections, in both directions, and keeps the connections open. A close
// by one side is not relayed to the other. New connections are not affected. Silent connections stay silent after
// Restore, because bytes of their streams are lost.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.connections {
		conn.silent.Store(true)
	}
}

// Restore accepts connections again after Cut. It fails after Close, and if the port stays in use for a second.
func (p *Proxy) Restore() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return fmt.Errorf("link proxy on %s is closed", p.addr)
	}
	var err error
	for i := 0; p.listener == nil && i < listenAttempts; i++ {
		var l net.Listener
		if l, err = net.Listen("tcp", p.addr); err == nil {
			p.listener = l
			go p.accept(l)
			return nil
		}
		time.Sleep(listenRetryDelay)
	}
	return err
}

// Close stops the relay permanently and resets all connections.
func (p *Proxy) Close() {
	p.Cut()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}

// State returns the current state.
func (p *Proxy) State() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := State{Cut: p.listener == nil, Connections: len(p.connections)}
	for conn := range p.connections {
		if conn.silent.Load() {
			s.SilentConnections++
		}
	}
	return s
}

// Handler serves the control calls POST /control/cut, /control/silence and /control/restore, and GET /control/state.
// They need another address than the relay.
func (p *Proxy) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/control/cut", func(w http.ResponseWriter, _ *http.Request) {
		p.Cut()
		w.WriteHeader(http.StatusNoContent)
	})
	r.Post("/control/silence", func(w http.ResponseWriter, _ *http.Request) {
		p.Silence()
		w.WriteHeader(http.StatusNoContent)
	})
	r.Post("/control/restore", func(w http.ResponseWriter, _ *http.Request) {
		if err := p.Restore(); err != nil {
			control.WriteError(w, http.StatusInternalServerError, err.Error())
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	r.Get("/control/state", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, http.StatusOK, p.State())
	})
	return r
}

func (p *Proxy) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				log.WithError(err).WithField("address", p.addr).Error("cannot accept connection")
			}
			return
		}
		go p.relay(l, conn)
	}
}

// relay connects to the target and copies until both directions have ended.
func (p *Proxy) relay(listener net.Listener, caller net.Conn) {
	target, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		if !errors.Is(err, syscall.ECONNREFUSED) {
			log.WithError(err).WithField("target", p.target).Error("cannot connect to target")
		}
		reset(caller)
		return
	}
	conn := &connection{caller: caller, target: target}
	p.mu.Lock()
	if p.listener != listener { // Cut was called while connecting
		p.mu.Unlock()
		conn.reset()
		return
	}
	p.connections[conn] = struct{}{}
	p.mu.Unlock()

	var wg sync.WaitGroup
	wg.Go(func() { conn.copy(target, caller) })
	wg.Go(func() { conn.copy(caller, target) })
	wg.Wait()
	p.mu.Lock()
	delete(p.connections, conn)
	p.mu.Unlock()
	caller.Close()
	target.Close()
}

// copy relays one direction until its source is closed or fails. Unless the connection is silent, it relays the close,
// or resets both sides after a failure.
func (l *connection) copy(to, from net.Conn) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 && !l.silent.Load() {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil && !l.silent.Load() {
				l.reset()
				return
			}
		}
		if err == nil {
			continue
		}
		switch {
		case l.silent.Load():
		case errors.Is(err, io.EOF):
			closeWrite(to)
		default:
			l.reset()
		}
		return
	}
}

func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite() // fails if the connection has been reset
	}
}

func (l *connection) reset() {
	reset(l.caller)
	reset(l.target)
}

// reset closes a connection with RST, as if a host or the state of a firewall were lost.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only on a closed connection
	}
	c.Close()
}
