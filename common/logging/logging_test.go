package logging_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/common/logging"
)

func TestLogging(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "logging")
}

// catalogueRow returns the row of an event in docs/log-events.md, without the last column.
func catalogueRow(e logging.Event) string {
	return fmt.Sprintf("| %d | %s | %s | %s |", e.Number, e.Level, e.Text, strings.Join(e.Fields, ", "))
}

var _ = Describe("Catalogue", func() {
	// Guards against a declared event that docs/log-events.md does not describe or describes differently.
	It("has exactly the declared events, in order", func() {
		page, err := os.ReadFile("../../docs/log-events.md")
		Expect(err).NotTo(HaveOccurred())
		var rows []string
		for line := range strings.Lines(string(page)) {
			cells := strings.Split(strings.TrimSpace(line), "|")
			if len(cells) < 2 {
				continue
			}
			if _, err := strconv.Atoi(strings.TrimSpace(cells[1])); err != nil {
				continue
			}
			Expect(cells).To(HaveLen(7), "number of cells in the row %q", line)
			Expect(strings.TrimSpace(cells[5])).NotTo(BeEmpty(), "the operator's action is missing in the row %q", line)
			rows = append(rows, strings.Join(cells[:5], "|")+"|")
		}
		var want []string
		for _, e := range logging.Events() {
			want = append(want, catalogueRow(e))
		}
		Expect(rows).To(Equal(want))
	})

	It("has only numbers in the ranges of docs/design.md", func() {
		for _, e := range logging.Events() {
			Expect(e.Number).To(And(BeNumerically(">=", 1000), BeNumerically("<", 1900)))
		}
	})
})

var _ = Describe("Emit", func() {
	var out *bytes.Buffer

	BeforeEach(func() {
		out = &bytes.Buffer{}
		DeferCleanup(func() { Expect(logging.Setup(logging.Options{})).To(Succeed()) })
	})

	It("writes the number, the host and the fields as JSON", func() {
		Expect(logging.Setup(logging.Options{Host: "a-1", Output: out})).To(Succeed())
		logging.Emit(logging.PeerUnreachable, logging.Fields{"peer": "127.0.0.1:1", "error": errors.New("refused")})
		var line struct {
			Level, Message string
			Fields         map[string]any
		}
		Expect(json.Unmarshal(out.Bytes(), &line)).To(Succeed())
		Expect(line.Level).To(Equal("warn"))
		Expect(line.Message).To(Equal(logging.PeerUnreachable.Text))
		Expect(line.Fields).To(Equal(map[string]any{"event": 1602.0, "host": "a-1", "peer": "127.0.0.1:1", "error": "refused"}))
	})

	It("lists undeclared fields", func() {
		Expect(logging.Setup(logging.Options{Output: out})).To(Succeed())
		logging.Emit(logging.PeerUnreachable, logging.Fields{"colour": "red"})
		Expect(out.String()).To(ContainSubstring(`"undeclared_fields":["colour"]`))
	})

	It("writes the text format and omits events below the level", func() {
		Expect(logging.Setup(logging.Options{Output: out, Format: logging.FormatText, Level: "warn"})).To(Succeed())
		logging.Emit(logging.StoreAvailable, nil)
		Expect(out.String()).To(BeEmpty())
		logging.Emit(logging.AcceptFailed, nil)
		Expect(out.String()).To(ContainSubstring("1606"))
	})

	It("returns an error for an unknown level or format", func() {
		Expect(logging.Setup(logging.Options{Level: "loud"})).NotTo(Succeed())
		Expect(logging.Setup(logging.Options{Format: "xml"})).NotTo(Succeed())
	})
})
