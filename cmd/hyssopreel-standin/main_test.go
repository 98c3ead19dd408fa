package main

import (
	"bufio"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const runMainEnv = "HYSSOPREEL_STANDIN_RUN_MAIN"

// TestMain runs main if the environment variable is set with which startCommand starts this test binary.
func TestMain(m *testing.M) {
	if os.Getenv(runMainEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

func TestCommand(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(10 * time.Second) // machines may be busy
	RunSpecs(t, "Stand-in command")
}

// startCommand starts the command and returns the words of the first n lines that it prints.
func startCommand(n int, args ...string) (*exec.Cmd, [][]string) {
	GinkgoHelper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runMainEnv+"=1")
	cmd.Stderr = GinkgoWriter
	out, err := cmd.StdoutPipe()
	Expect(err).NotTo(HaveOccurred())
	Expect(cmd.Start()).To(Succeed())
	DeferCleanup(func() { _ = cmd.Process.Kill() }) // fails if the process has ended, as after stopCommand
	lines, scanner := [][]string{}, bufio.NewScanner(out)
	for len(lines) < n && scanner.Scan() {
		lines = append(lines, strings.Fields(scanner.Text()))
	}
	Expect(lines).To(HaveLen(n))
	return cmd, lines
}

func stopCommand(cmd *exec.Cmd) {
	GinkgoHelper()
	Expect(cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
	Expect(cmd.Wait()).To(Succeed())
}

func httpGet(url string) string {
	GinkgoHelper()
	resp, err := http.Get(url)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(Equal(200))
	return string(b)
}

var _ = Describe("hyssopreel-standin", func() {
	// Guards against a command that announces an address before it serves it, or that ignores SIGTERM.
	DescribeTable("serves until SIGTERM", func(servers int, args ...string) {
		cmd, lines := startCommand(servers, args...)
		for _, words := range lines {
			Expect(words).To(HaveLen(2))
			Expect(words[0]).To(Equal("listening"))
			Expect(httpGet("http://" + words[1] + "/control/counters")).To(HavePrefix("{"))
		}
		stopCommand(cmd)
	},
		Entry("platform", 1, "platform", "--listen", "127.0.0.1:0"),
		Entry("engine", 1, "engine", "--checks-fencing", "--step-ms", "2"),
		Entry("several engines", 3, "engine", "--count", "3"),
		Entry("tool", 1, "tool"),
		Entry("services", 2, "service", "--listen", "127.0.0.1:0", "--listen", "127.0.0.1:0"),
		Entry("weights", 1, "weights", "--rate", "2"),
	)

	// Guards against a relay whose control calls are not served at the announced address.
	It("relays connections and cuts them", func() {
		target, lines := startCommand(1, "tool")
		link, addresses := startCommand(2, "link", "--to", lines[0][1])
		Expect(addresses[0][0] + " " + addresses[1][0]).To(Equal("listening control"))
		relay, control := "http://"+addresses[0][1], "http://"+addresses[1][1]
		Expect(httpGet(relay + "/control/counters")).To(ContainSubstring("executions"))
		resp, err := http.Post(control+"/control/cut", "", nil)
		Expect(err).NotTo(HaveOccurred())
		resp.Body.Close()
		_, err = http.Get(relay + "/control/counters")
		Expect(err).To(HaveOccurred())
		stopCommand(link)
		stopCommand(target)
	})

	// Guards against a file of --backends that is not served, or only after the lag.
	It("loads the list of backend servers", func() {
		file := GinkgoT().TempDir() + "/backends.json"
		Expect(os.WriteFile(file, []byte(`{"backends": [{"name": "w1", "state": "live"}]}`), 0o600)).To(Succeed())
		cmd, lines := startCommand(1, "platform", "--backends", file, "--lag-ms", "5000")
		Expect(httpGet("http://" + lines[0][1] + "/v1/backends")).To(ContainSubstring(`"w1"`))
		stopCommand(cmd)
	})
})
