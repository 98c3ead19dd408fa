package memory

import (
	"bytes"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"github.com/hyssopreel/hyssopreel/internal/testbed"
)

const (
	// daemonMemoryMB is the default of the daemon's [limits] memory, and daemonDescriptors that of [limits] descriptors.
	daemonMemoryMB    = 256
	daemonDescriptors = 4096
	daemonHeadBytes   = 32 << 10  // default of [limits] max_header
	daemonBodyBytes   = 256 << 10 // default of [limits] max_body
)

// TestDaemonUnderCrowds guards against the loss of the daemon that serves hyssopreel's own interface to clients that stay
// within its limits.
func TestDaemonUnderCrowds(t *testing.T) {
	head := func(lines string) string {
		return "POST /v1/programs HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n" + lines
	}
	for _, test := range []struct {
		name    string
		clients int
		content func(i int) []byte
	}{
		{"short header lines", 700, func(int) []byte {
			return sized(head(shortLines(daemonHeadBytes-512)), 64, 63)
		}},
		{"bodies that stop short", 1000, func(int) []byte {
			b := fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", head(""), daemonBodyBytes)
			return append(append(b, `{"team":"`...), bytes.Repeat([]byte("x"), daemonBodyBytes-16)...)
		}},
		{"small chunks", 1800, func(int) []byte {
			b := fmt.Appendf(nil, "%sTransfer-Encoding: chunked\r\n\r\n9\r\n{\"team\":\"\r\n", head(""))
			return append(b, bytes.Repeat([]byte("1\r\nx\r\n"), daemonBodyBytes-16)...)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := startDaemon(t)
			gather(t, test.clients, p.address, test.content)
			askUntilAnswered(t, p.process, func() (*http.Request, error) {
				return http.NewRequest(http.MethodGet, "http://"+p.address+"/v1/hosts", nil)
			})
			p.check(t, daemonMemoryMB<<20, daemonDescriptors)
		})
	}
}

type daemonProcess struct {
	*process
	address string
}

// startDaemon starts a daemon with the default limits and the stand-ins that it needs.
func startDaemon(t *testing.T) *daemonProcess {
	t.Helper()
	root, err := testbed.RepoRoot()
	if err != nil {
		t.Fatal(err)
	}
	cluster, err := testbed.Start(t.TempDir(), testbed.Options{
		Deployment: testbed.Deployments["tobyl"], Hosts: 1, BinDir: binDir, RepoRoot: root,
		Settings: map[string]string{"log.level": "warn", "event_log.path": ""},
	})
	if cluster != nil {
		t.Cleanup(func() { _ = cluster.Close() })
	}
	if err != nil {
		t.Fatal(err)
	}
	host := cluster.Hosts[0]
	u, err := url.Parse("http://" + host.HTTPAddress)
	if err != nil {
		t.Fatal(err)
	}
	p := &daemonProcess{address: host.HTTPAddress, process: attach(t, strings.Split(u.Host, ":")[0], host.PID(), host.Done(), host.LogPath)}
	return p
}
