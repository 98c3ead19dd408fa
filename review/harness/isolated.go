package main

import (
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/standin/linkproxy"
)

// network has a relay for each pair of hosts and each direction, and one from each host to the store, so that hosts can be
// cut off. Each host gets the addresses of its own relays in place of those of its peers: in its settings, and in what it
// reads from the store.
type network struct {
	lab *lab
	// links holds the relay from the first host to the second one.
	links map[[2]*host]*linkproxy.Proxy
	// isolated holds whether the host is cut off from the store.
	isolated map[*host]*atomic.Bool
}

// newNetwork puts relays between the hosts, which have settings and are not started yet.
func newNetwork(l *lab) (*network, error) {
	n := &network{lab: l, links: map[[2]*host]*linkproxy.Proxy{}, isolated: map[*host]*atomic.Bool{}}
	for _, from := range l.hosts {
		for _, to := range l.hosts {
			if from == to {
				continue
			}
			link, err := linkproxy.Listen("127.0.0.1:0", to.control())
			if err != nil {
				return nil, err
			}
			n.links[[2]*host{from, to}] = link
		}
		n.isolated[from] = &atomic.Bool{}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		go func() { _ = http.Serve(listener, n.storeOf(from)) }()
		text, err := os.ReadFile(from.settings)
		if err != nil {
			return nil, err
		}
		changed := strings.ReplaceAll(n.withRelays(from, string(text)), l.storeAddress, listener.Addr().String())
		if err := os.WriteFile(from.settings, []byte(changed), 0o600); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// withRelays replaces the addresses of the host's peers by those of its relays.
func (n *network) withRelays(from *host, text string) string {
	for _, to := range n.lab.hosts {
		if to != from {
			text = strings.ReplaceAll(text, to.control(), n.links[[2]*host{from, to}].Addr())
		}
	}
	return text
}

// storeOf is the store as the host reaches it. While the host is cut off, connections are reset.
func (n *network) storeOf(from *host) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.isolated[from].Load() {
			panic(http.ErrAbortHandler)
		}
		answer := httptest.NewRecorder()
		n.lab.store.ServeHTTP(answer, r)
		if n.isolated[from].Load() {
			panic(http.ErrAbortHandler)
		}
		body := n.withRelays(from, answer.Body.String())
		for name, values := range answer.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(answer.Code)
		_, _ = w.Write([]byte(body))
	})
}

// isolate cuts a host off from all other hosts and from the store.
func (n *network) isolate(h *host) {
	n.isolated[h].Store(true)
	for pair, link := range n.links {
		if pair[0] == h || pair[1] == h {
			link.Cut()
		}
	}
	n.lab.logf("%s is cut off from all other hosts and from the store", h.name)
}

// heal ends all cuts.
func (n *network) heal() error {
	for h, isolated := range n.isolated {
		isolated.Store(false)
		for pair, link := range n.links {
			if pair[0] != h {
				continue
			}
			if err := link.Restore(); err != nil {
				return err
			}
		}
	}
	n.lab.logf("no host is cut off any more")
	return nil
}

// isolatedTime is how long hosts are cut off.
const isolatedTime = 5500 * time.Millisecond

// runIsolated cuts off the first two homes of programs at the same moment, each from all other hosts, while the programs
// have turns at several hosts.
func runIsolated(l *lab, trouble bool) (bool, error) {
	if err := l.addHosts(tobylZones...); err != nil {
		return false, err
	}
	n, err := newNetwork(l)
	if err != nil {
		return false, err
	}
	l.putConfig(1, app)
	for _, zone := range []string{"almaty-a", "almaty-b", "almaty-c"} {
		if _, err := l.addWorker(engines, zone, 16, time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := l.startAll(); err != nil {
		return false, err
	}
	first, second, other := l.hosts[0], l.hosts[3], l.hosts[5]
	programs := programsOf(l, 8, first, second)
	time.Sleep(7 * time.Second)
	start := time.Now()
	if trouble {
		n.isolate(first)
		n.isolate(second)
	}
	time.Sleep(1500 * time.Millisecond)
	for _, h := range []*host{first, second, other, other} {
		turnAll(l, programs, h)
	}
	if spent := time.Since(start); trouble && spent > isolatedTime {
		return false, errors.Newf("the turns took %v", spent)
	}
	time.Sleep(time.Until(start.Add(isolatedTime)))
	if trouble {
		if err := n.heal(); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second)
	turnAll(l, programs, other)
	return judgeBudgets(l, programs), nil
}
