package ingress_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/uber-go/tally/v4"

	"github.com/hyssopreel/hyssopreel/platform"
	"github.com/hyssopreel/hyssopreel/service/ingress"
	"github.com/hyssopreel/hyssopreel/service/memlimit"
)

// newBenchIngress returns an ingress with the limits of an entry host.
func newBenchIngress(b *testing.B, servers *ingress.Servers) (*ingress.Ingress, *http.Server, net.Listener) {
	limiter := memlimit.New(memlimit.Options{Bytes: 64 << 20, MaxConns: 1000, ReceiveBufferBytes: 32 << 10, SendBufferBytes: 128 << 10})
	listener, err := limiter.Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	in := ingress.New(ingress.Options{FailureDomain: "a", Memory: limiter}, platform.HeaderCodec{}, servers, &fakeBudgets{}, tally.NoopScope)
	return in, &http.Server{Handler: in, ConnContext: memlimit.ConnContext, ConnState: memlimit.ConnState}, listener
}
