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
	"github.com/hyssopreel/hyssopreel/common/ids"
	"github.com/hyssopreel/hyssopreel/common/objectapi"
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

// Guards against a home that cannot tell a server that has ended from a connection that broke, so that a call that ends
// servers is sent to one after the other.
func TestInterruptedCallTellsWhetherItsServerHasEnded(t *testing.T) {
	for _, ends := range []bool{true, false} {
		g := gomega.NewWithT(t)
		var server *httptest.Server
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			if ends {
				_ = server.Listener.Close()
			}
			panic(http.ErrAbortHandler)
		}))
		defer server.Close()
		backends := fixedBackends{"w1": strings.TrimPrefix(server.URL, "http://")}
		d := newDispatcher(backends, func() bool { return true }, newHub(func(program.WaiterGone) {}), func(program.DispatchEnded) {})
		ended := d.run(context.Background(), program.Dispatch{
			Call: sched.CallID{Program: "a-1.1-1", Key: "score"}, Kind: api.CallModel, Worker: "w1", Idempotent: true,
		})
		g.Expect(ended.Result).To(gomega.Equal(program.ResultInterrupted))
		g.Expect(ended.WorkerEnded).To(gomega.Equal(ends))
		g.Expect(ended.Began).To(gomega.Equal(ends))
	}
}

// fixedBackends holds the addresses of backend servers by name.
type fixedBackends map[string]string

func (f fixedBackends) Backend(name string) (objectapi.Backend, bool) {
	address, ok := f[name]
	return objectapi.Backend{Name: name, Address: address}, ok
}

func (f fixedBackends) ReleaseCache(string, ids.Program, func()) {}
