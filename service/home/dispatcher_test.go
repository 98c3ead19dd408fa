package home

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"

	"github.com/hyssopreel/hyssopreel/api"
	"github.com/hyssopreel/hyssopreel/core/program"
	"github.com/hyssopreel/hyssopreel/core/sched"
)

// Guards against a client that follows a 307 redirect and so sends a non-idempotent request twice.
func TestRedirectIsNotFollowed(t *testing.T) {
	g := gomega.NewWithT(t)
	var requests atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	}))
	defer server.Close()
	d := newDispatcher(nil, func() bool { return true }, newHub(func(program.WaiterGone) {}), func(program.DispatchEnded) {})
	ended := d.run(context.Background(), program.Dispatch{
		Call: sched.CallID{Program: "a-1.1-1", Key: "pay"}, Kind: api.CallTool, Name: "payout",
		Address: strings.TrimPrefix(server.URL, "http://"), Body: []byte("{}"),
	})
	g.Expect(ended.Result).To(gomega.Equal(program.ResultCompleted))
	g.Expect(ended.StatusCode).To(gomega.Equal(http.StatusTemporaryRedirect))
	g.Expect(requests.Load()).To(gomega.Equal(int32(1)))
}
