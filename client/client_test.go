package client_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/client"
	"github.com/hyssopreel/hyssopreel/common/fault"
	"github.com/hyssopreel/hyssopreel/core/config"
)

func TestClient(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "client")
}

func serve(mux *http.ServeMux) string {
	s := httptest.NewServer(mux)
	ginkgo.DeferCleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func writeJSON(w http.ResponseWriter, v any) { _ = json.NewEncoder(w).Encode(v) }

func writeError(w http.ResponseWriter, f *fault.Error) {
	w.WriteHeader(f.HTTPStatus())
	writeJSON(w, api.ErrorAnswer{Error: f})
}

// abortConnection closes the connection without a response.
func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func serveHosts(addr *atomic.Value) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, api.HostsAnswer{Hosts: []api.HostAddress{{Address: addr.Load().(string)}}})
	}
}

var _ = ginkgo.Describe("Client", func() {
	ctx := context.Background()

	// Guards against a call that fails because its program moved to another home after the lookup.
	ginkgo.It("sends a call to the new home of a program that has moved", func() {
		var home atomic.Value
		newMux := http.NewServeMux()
		newMux.HandleFunc("POST /v1/programs/{id}/calls", func(w http.ResponseWriter, r *http.Request) {
			var c api.Call
			gomega.Expect(json.NewDecoder(r.Body).Decode(&c)).To(gomega.Succeed())
			writeJSON(w, api.CallAnswer{Key: c.Key, State: "done", Text: "from the successor"})
		})
		successor := serve(newMux)
		oldMux := http.NewServeMux()
		oldMux.HandleFunc("GET /v1/hosts", serveHosts(&home))
		oldMux.HandleFunc("POST /v1/programs/{id}/calls", func(w http.ResponseWriter, _ *http.Request) {
			home.Store(successor)
			writeError(w, fault.New(fault.CodeMoved, "call", "the program moved"))
		})
		old := serve(oldMux)
		home.Store(old)
		a, err := client.New([]string{old}, nil).Call(ctx, "h.1-1", api.Call{Key: "k", Kind: api.CallModel})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(a.Text).To(gomega.Equal("from the successor"))
		gomega.Expect(a.Key).To(gomega.Equal("k"))
	})

	// Guards against an error for a program whose home has just joined, and against retries for a home that does
	// not exist.
	ginkgo.It("retries while the host has not found the home yet", func() {
		var requests atomic.Int32
		var home atomic.Value
		mux := http.NewServeMux()
		mux.HandleFunc("GET /v1/hosts", serveHosts(&home))
		missing := fault.New(fault.CodeNotFound, "find home", "no such host")
		mux.HandleFunc("GET /v1/programs/{id}", func(w http.ResponseWriter, r *http.Request) {
			switch n := requests.Add(1); {
			case r.PathValue("id") == "gone.1-1":
				writeError(w, missing)
			case n == 1:
				writeError(w, missing.WithRetryAfter(time.Second))
			default:
				writeJSON(w, api.ProgramStatus{ID: "h.1-1"})
			}
		})
		host := serve(mux)
		home.Store(host)
		c := client.New([]string{host}, nil)
		p, err := c.Program(ctx, "h.1-1")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(string(p.ID)).To(gomega.Equal("h.1-1"))
		_, err = c.Program(ctx, "gone.1-1")
		gomega.Expect(fault.From(err, "").Code).To(gomega.Equal(fault.CodeNotFound))
		gomega.Expect(requests.Load()).To(gomega.Equal(int32(3)))
	})

	// Guards against the outcome "not run" for a request that a host may have executed, and against sending it
	// twice.
	ginkgo.It("reports an unknown outcome when the connection is closed after the request", func() {
		var requests atomic.Int32
		mux := http.NewServeMux()
		mux.HandleFunc("POST /v1/programs", func(w http.ResponseWriter, r *http.Request) {
			requests.Add(1)
			abortConnection(w, r)
		})
		addr := serve(mux)
		_, err := client.New([]string{addr, addr}, nil).Open(ctx, api.OpenProgram{})
		f := fault.From(err, "")
		gomega.Expect(f.Outcome).To(gomega.Equal(fault.OutcomeUnknown))
		gomega.Expect(f.Peer).To(gomega.Equal(addr))
		gomega.Expect(requests.Load()).To(gomega.Equal(int32(1)))
	})

	// Guards against one unreachable host making the whole deployment unusable for a client.
	ginkgo.It("tries another host when one cannot be reached", func() {
		closed := httptest.NewServer(http.NewServeMux())
		closed.Close()
		mux := http.NewServeMux()
		mux.HandleFunc("GET /v1/members", func(w http.ResponseWriter, _ *http.Request) {
			writeJSON(w, api.Members{Members: []api.Member{{Name: "a"}}})
		})
		c := client.New([]string{closed.URL, serve(mux)}, nil)
		for range 8 {
			l, err := c.Members(ctx)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(l.Members).To(gomega.HaveLen(1))
		}
		_, err := client.New([]string{closed.URL}, nil).Open(ctx, api.OpenProgram{})
		gomega.Expect(fault.From(err, "").Outcome).To(gomega.Equal(fault.OutcomeNotRun))
	})

	// Guards against a ticket that is applied twice, or not sent again, after a lost response.
	ginkgo.It("sends a ticket again under the same tag after a lost response", func() {
		var tags []string
		mux := http.NewServeMux()
		mux.HandleFunc("POST /v1/tickets", func(w http.ResponseWriter, r *http.Request) {
			var t config.Ticket
			gomega.Expect(json.NewDecoder(r.Body).Decode(&t)).To(gomega.Succeed())
			tags = append(tags, t.Tag)
			if len(tags) == 1 {
				abortConnection(w, r)
			}
			writeJSON(w, api.TicketAccepted{Number: t.Number})
		})
		a, err := client.New([]string{serve(mux)}, nil).ApplyTicket(ctx, config.Ticket{Number: 3})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(a.Number).To(gomega.Equal(uint64(3)))
		gomega.Expect(tags).To(gomega.HaveLen(2))
		gomega.Expect(tags[0]).NotTo(gomega.BeEmpty())
		gomega.Expect(tags[1]).To(gomega.Equal(tags[0]))
	})

	ginkgo.Describe("Stream", func() {
		stream := func(body string) ([]string, api.CallAnswer, error) {
			var home atomic.Value
			mux := http.NewServeMux()
			mux.HandleFunc("GET /v1/hosts", serveHosts(&home))
			mux.HandleFunc("POST /v1/programs/{id}/calls", func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = fmt.Fprint(w, body)
			})
			addr := serve(mux)
			home.Store(addr)
			var pieces []string
			a, err := client.New([]string{addr}, nil).Stream(ctx, "h.1-1", api.Call{Key: "k"}, func(p api.Piece) error {
				pieces = append(pieces, fmt.Sprintf("%d:%s", p.Offset, p.Text))
				return nil
			})
			return pieces, a, err
		}
		const twoPieces = "event: piece\ndata: {\"offset\":0,\"text\":\"a \"}\n\n: keep-alive\n\nevent: piece\ndata: {\"offset\":1,\ndata: \"text\":\"b\"}\n\n"

		// Guards against pieces that are lost or merged, and against comments that are parsed as events.
		ginkgo.It("calls the function for each piece and returns the answer", func() {
			pieces, a, err := stream(twoPieces + "event: answer\ndata: {\"state\":\"done\",\"text\":\"a b\",\"durable\":true}\n\n")
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(pieces).To(gomega.Equal([]string{"0:a ", "1:b"}))
			gomega.Expect(a.Text).To(gomega.Equal("a b"))
		})

		// Guards against treating a truncated answer as complete.
		ginkgo.It("reports an unknown outcome when the stream ends without an answer", func() {
			_, _, err := stream(twoPieces)
			gomega.Expect(fault.From(err, "").Outcome).To(gomega.Equal(fault.OutcomeUnknown))
		})

		// Guards against the loss of the error of a call that failed after its first piece.
		ginkgo.It("returns the error event", func() {
			_, _, err := stream(twoPieces + "event: error\ndata: {\"error\":{\"code\":\"budget_exceeded\",\"outcome\":\"not run\"}}\n\n")
			gomega.Expect(fault.From(err, "").Code).To(gomega.Equal(fault.CodeBudgetExceeded))
		})
	})

	// Guards against a client that waits without limit for a host that does not respond.
	ginkgo.It("ends at the deadline with an unknown outcome", func() {
		stop := make(chan struct{})
		mux := http.NewServeMux()
		mux.HandleFunc("POST /v1/programs", func(http.ResponseWriter, *http.Request) { <-stop })
		addr := serve(mux)
		ginkgo.DeferCleanup(func() { close(stop) })
		short, cancel := context.WithTimeout(ctx, 30*time.Millisecond)
		defer cancel()
		_, err := client.New([]string{addr}, nil).Open(short, api.OpenProgram{})
		gomega.Expect(fault.From(err, "").Code).To(gomega.Equal(fault.CodeTimeout))
		gomega.Expect(fault.From(err, "").Outcome).To(gomega.Equal(fault.OutcomeUnknown))
	})
})
