package daemon

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against two incarnations in one event log, which cannot be replayed, and against an overwritten log.
func TestEventLogOfEachIncarnation(t *testing.T) {
	g := gomega.NewWithT(t)
	path := filepath.Join(t.TempDir(), "events.log")
	for _, content := range []string{"first", "second", "third"} {
		f, err := createEventLog(path)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = f.WriteString(content)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(f.Close()).To(gomega.Succeed())
	}
	for name, content := range map[string]string{path + ".1": "first", path + ".2": "second", path: "third"} {
		g.Expect(os.ReadFile(name)).To(gomega.Equal([]byte(content)), name)
	}
	_, err := createEventLog(filepath.Join(path, "not a folder"))
	g.Expect(err).To(gomega.HaveOccurred())
}
