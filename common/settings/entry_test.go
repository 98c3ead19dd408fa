package settings_test

import (
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/common/settings"
)

var _ = Describe("LoadEntryHost", func() {
	write := func(text string) string {
		path := filepath.Join(GinkgoT().TempDir(), "entry.ini")
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		return path
	}

	It("loads the example file, which shows the defaults", func() {
		s, problems := settings.LoadEntryHost("../../docs/entry.example.ini")
		Expect(problems).To(BeEmpty())
		Expect(s.Shutdown.GracePeriod).To(Equal(8 * time.Second))
		Expect(s.Seeds.Peers).To(HaveLen(2))
		required, problems := settings.LoadEntryHost(write("[host]\nname=a-1\nfailure_domain=a\nregion=r\n[listen]\nmetrics=10.0.0.1:1\n[platform]\naddress=10.0.0.2:1\n"))
		Expect(problems).To(BeEmpty())
		Expect(required.Platform.Timeout).To(Equal(s.Platform.Timeout))
		Expect(required.Platform.MaxWatchWait).To(Equal(s.Platform.MaxWatchWait))
		Expect(required.Platform.ListInterval).To(Equal(s.Platform.ListInterval))
		Expect(required.Limits).To(Equal(s.Limits))
		Expect(required.Shutdown).To(Equal(s.Shutdown))
		Expect(required.Log).To(Equal(s.Log))
	})

	It("reports every wrong setting at once", func() {
		_, problems := settings.LoadEntryHost(write("[host]\nname=A\nfailure_domain=a\nregion=r\n[listen]\ncallers=here\nmetrics=10.0.0.1:1\n[platform]\naddress=10.0.0.2:1\nwatch=soon\n[limits]\nmemory=much\ncores=NaN\ncores_share=1.5\nother=1\n"))
		var keys []string
		for _, p := range problems {
			keys = append(keys, p.Key)
		}
		Expect(keys).To(ConsistOf("name", "callers", "watch", "memory", "cores", "cores_share", "other"))
	})

	It("reports a file that cannot be read", func() {
		_, problems := settings.LoadEntryHost("/none")
		Expect(problems).To(HaveLen(1))
	})
})
