package settings_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/common/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const minimal = `
[host]
name = a-1
failure_domain = a
region = r
[listen]
http = 127.0.0.1:1
peer = 127.0.0.1:2
[platform]
address = 127.0.0.1:3
`

func load(content string) (*settings.Settings, []settings.Problem) {
	GinkgoHelper()
	path := filepath.Join(GinkgoT().TempDir(), "test.ini")
	Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	return settings.Load(path)
}

var _ = Describe("Load", func() {
	// Guards against an example file that operators copy but that does not load.
	It("loads the example file", func() {
		s, problems := settings.Load("../../docs/hyssopreeld.example.ini")
		Expect(problems).To(BeEmpty())
		Expect(s.Host.Name).To(Equal("almaty-a-1"))
	})

	It("sets the documented defaults", func() {
		s, problems := load(minimal)
		Expect(problems).To(BeEmpty())
		Expect(s.Listen.AdvertisePeer).To(Equal("127.0.0.1:2"))
		Expect(s.Lease.Duration).To(Equal(6 * time.Second))
		Expect(s.Lease.RenewInterval).To(Equal(2 * time.Second))
		Expect(s.Membership.SuspicionTimeout).To(Equal(2 * time.Second))
		Expect(s.Journal.MaxUncommittedBytes).To(Equal(int64(16 << 20)))
		Expect(s.Limits.MaxBodyBytes).To(Equal(int64(256 << 10)))
		Expect(s.Limits.MaxQueuedCalls).To(Equal(16))
		Expect(s.Log.Level).To(Equal("info"))
	})

	// Guards against problems that are reported only one at a time, so that the operator restarts the daemon for each.
	It("reports every wrong setting at once, with its allowed values", func() {
		_, problems := load(`
stray = 1
[host]
name = Almaty.A
failure_domain = a
[listen]
http = localhost:80
peer = 0.0.0.0:81
[platform]
address = 127.0.0.1:0
timeout = 2
[lease]
renew = 3s
[membership]
heartbeat = 1s
suspect_after = 2s
[journal]
max_unsaved = 16
batch_interval = 5ms
batch_interval = 6ms
[limits]
max_body = 1MB
max_queued_calls = 0
order_wait = -1s
colour = red
[log]
level = loud
[seeds]
peers = 127.0.0.1:1, b:2
[extras]
x = 1
`)
		type wrongSetting struct{ section, key, value string }
		var got []wrongSetting
		for _, p := range problems {
			Expect(p.Allowed).NotTo(BeEmpty())
			Expect(filepath.Base(p.File)).To(Equal("test.ini"))
			got = append(got, wrongSetting{p.Section, p.Key, p.Value})
		}
		Expect(got).To(ConsistOf(
			wrongSetting{"DEFAULT", "stray", "1"},
			wrongSetting{"host", "name", "Almaty.A"},
			wrongSetting{"host", "region", ""},
			wrongSetting{"listen", "http", "localhost:80"},
			wrongSetting{"listen", "advertise_peer", "0.0.0.0:81"},
			wrongSetting{"platform", "address", "127.0.0.1:0"},
			wrongSetting{"platform", "timeout", "2"},
			wrongSetting{"lease", "renew", "3s"},
			wrongSetting{"membership", "suspect_after", "2s"},
			wrongSetting{"journal", "max_unsaved", "16"},
			wrongSetting{"journal", "batch_interval", "5ms, 6ms"},
			wrongSetting{"limits", "max_body", "1MB"},
			wrongSetting{"limits", "max_queued_calls", "0"},
			wrongSetting{"limits", "order_wait", "-1s"},
			wrongSetting{"limits", "colour", "red"},
			wrongSetting{"log", "level", "loud"},
			wrongSetting{"seeds", "peers", "b:2"},
			wrongSetting{"extras", "", ""},
		))
	})

	It("reports a missing and a malformed file", func() {
		_, problems := settings.Load(filepath.Join(GinkgoT().TempDir(), "missing.ini"))
		Expect(problems).To(HaveLen(1))
		_, problems = load("[host\nname = a")
		Expect(problems).To(HaveLen(1))
		Expect(problems[0].String()).To(ContainSubstring("test.ini"))
	})
})
