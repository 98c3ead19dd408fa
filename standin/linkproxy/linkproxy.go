// Package linkproxy is a TCP relay that tests put between two processes to cut the link or to let it go
// silent.
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
	// listenRetryDelay and listenAttempts bound the wait for the port after a cut.
	listenRetryDelay = 20 * time.Millisecond
	listenAttempts   = 50
	bufferBytes      = 32 << 10
)

// Proxy relays connections from its address to a target.
type Proxy struct {
	target string
	addr   string

	mu          sync.Mutex
	listener    net.Listener // nil while cut
	connections map[*connection]struct{}
	closed      bool
}

// connection is one relayed connection.
type connection struct {
	caller net.Conn
	target net.Conn
	silent atomic.Bool
}

// State is the answer of GET /control/state.
type State struct {
	Cut               bool `json:"cut"`
	Connections       int  `json:"links"`  // open connections, silent ones included
	SilentConnections int  `json:"silent"` // open connections that drop all bytes
}

// Listen starts a relay from the address to the target.
func Listen(address, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("link proxy: %w", err)
	}
	p := &Proxy{target: target, addr: l.Addr().String(), listener: l, connections: map[*connection]struct{}{}}
	go p.accept(l)
	return p, nil
}

// Addr returns the address on which the relay listens.
func (p *Proxy) Addr() string { return p.addr }

// Cut resets all connections and refuses new ones until Restore.
func (p *Proxy) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		p.listener.Close()
		p.listener = nil
	}
	for l := range p.connections {
		l.reset()
	}
}

// Silence drops all further bytes of the present connections, in both directions, and keeps them open. A
// close by one side does not reach the other. New connections work. Silent connections stay silent after
// Restore, because bytes of their streams are lost.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.connections {
		l.silent.Store(true)
	}
}

// Restore takes connections again after Cut. It fails if another process took the port meanwhile.
func (p *Proxy) Restore() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return errors.New("link proxy is closed")
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

// Close ends the relay and resets all connections.
func (p *Proxy) Close() {
	p.Cut()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}

// State returns the present state.
func (p *Proxy) State() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := State{Cut: p.listener == nil, Connections: len(p.connections)}
	for l := range p.connections {
		if l.silent.Load() {
			s.SilentConnections++
		}
	}
	return s
}

// Handler returns the control calls POST /control/cut, /control/silence, /control/restore and
// GET /control/state. They are served on an address of their own.
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
				log.WithError(err).WithField("address", p.addr).Error("accept connection")
			}
			return
		}
		go p.relay(l, conn)
	}
}

// relay connects to the target and copies until both directions have ended.
func (p *Proxy) relay(from net.Listener, caller net.Conn) {
	target, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		if !errors.Is(err, syscall.ECONNREFUSED) {
			log.WithError(err).WithField("target", p.target).Error("connect to target")
		}
		reset(caller)
		return
	}
	l := &connection{caller: caller, target: target}
	p.mu.Lock()
	if p.listener != from { // cut while connecting
		p.mu.Unlock()
		l.reset()
		return
	}
	p.connections[l] = struct{}{}
	p.mu.Unlock()

	var wg sync.WaitGroup
	wg.Go(func() { l.copy(target, caller) })
	wg.Go(func() { l.copy(caller, target) })
	wg.Wait()
	p.mu.Lock()
	delete(p.connections, l)
	p.mu.Unlock()
	caller.Close()
	target.Close()
}

// copy relays one direction until its source ends. The end is passed on unless the link is silent.
func (l *connection) copy(to, from net.Conn) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 && !l.silent.Load() {
			if _, werr := to.Write(buf[:n]); werr != nil && !l.silent.Load() {
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
		_ = t.CloseWrite() // the connection may have been reset meanwhile
	}
}

func (l *connection) reset() {
	reset(l.caller)
	reset(l.target)
}

// reset closes a connection with RST, as the loss of a host or of a firewall state does.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only on a closed connection
	}
	c.Close()
}
