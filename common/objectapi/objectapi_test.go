package objectapi_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/hyssopreel/hyssopreel/common/objectapi"
)

func TestObjectAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "objectapi")
}

const testTimeout = 200 * time.Millisecond

func newTestStore(h http.HandlerFunc) *objectapi.HTTPStore {
	GinkgoHelper()
	s := httptest.NewServer(h)
	DeferCleanup(s.Close)
	return objectapi.NewHTTPStore(s.Listener.Addr().String(), "almaty-a-1", testTimeout)
}

var _ = Describe("HTTPStore", func() {
	ctx := context.Background()

	// Guards against a cached list that is returned after the response has changed, or that a caller can modify.
	It("returns each change of the list of backend servers", func() {
		var body atomic.Value
		store := newTestStore(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body.Load().(string)) })
		names := func() (out []string) {
			list, err := store.Backends(ctx)
			Expect(err).NotTo(HaveOccurred())
			for i := range list {
				out = append(out, list[i].Name)
				list[i].Name = "changed by the caller"
			}
			return out
		}
		body.Store(`{"backends": [{"name": "a"}, {"name": "b"}]}`)
		Expect(names()).To(Equal([]string{"a", "b"}))
		Expect(names()).To(Equal([]string{"a", "b"}))
		body.Store(`{"backends": [{"name": "a"}, {"name": "c"}]}`)
		Expect(names()).To(Equal([]string{"a", "c"}))
		body.Store(`{"backends": [`)
		_, err := store.Backends(ctx)
		Expect(err).To(MatchError(objectapi.ErrUnavailable))
		body.Store(`{"backends": []}`)
		Expect(names()).To(BeEmpty())
	})

	It("sends requests and decodes responses as in docs/external-protocols.md", func() {
		type observedRequest struct{ method, uri, match, none, client string }
		var last atomic.Pointer[observedRequest]
		s := newTestStore(func(w http.ResponseWriter, r *http.Request) {
			last.Store(&observedRequest{r.Method, r.RequestURI, r.Header.Get("If-Match"), r.Header.Get("If-None-Match"), r.Header.Get("X-Client")})
			w.Header().Set("ETag", `"7"`)
			switch {
			case r.Method == http.MethodDelete:
				w.WriteHeader(http.StatusNoContent)
			case r.URL.Path == "/v1/objects/journal":
				_, _ = w.Write([]byte(`{"revision": 9, "objects": [{"name": "a/1", "version": 3, "value": "eA=="}]}`))
			case r.URL.Path == "/v1/watch/members":
				_, _ = w.Write([]byte(`{"revision": 9, "changes": [{"name": "a", "version": 8, "deleted": true}]}`))
			case r.URL.Path == "/v1/backends":
				_, _ = w.Write([]byte(`{"backends": [{"name": "w1", "pool": "reel-lm", "state": "leaving", "checks_fencing": true}]}`))
			default:
				_, _ = w.Write([]byte("x"))
			}
		})
		v, err := s.Create(ctx, "journal", "a.1/2", []byte("x"))
		Expect(err).NotTo(HaveOccurred())
		Expect(v).To(Equal(objectapi.Version(7)))
		Expect(*last.Load()).To(Equal(observedRequest{"PUT", "/v1/objects/journal/a.1%2F2", "", "*", "almaty-a-1"}))
		_, err = s.Update(ctx, "leases", "a", nil, 5)
		Expect(err).NotTo(HaveOccurred())
		Expect(last.Load().match).To(Equal(`"5"`))
		Expect(s.Delete(ctx, "leases", "a", 5)).To(Succeed())
		Expect(last.Load().match).To(Equal(`"5"`))
		o, err := s.Get(ctx, "leases", "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(o).To(Equal(objectapi.Object{Kind: "leases", Name: "a", Version: 7, Value: []byte("x")}))
		list, rev, err := s.List(ctx, "journal", "a/")
		Expect(err).NotTo(HaveOccurred())
		Expect(rev).To(Equal(objectapi.Version(9)))
		Expect(list).To(Equal([]objectapi.Object{{Kind: "journal", Name: "a/1", Version: 3, Value: []byte("x")}}))
		changes, _, err := s.Watch(ctx, "members", "", 4)
		Expect(err).NotTo(HaveOccurred())
		Expect(last.Load().uri).To(Equal("/v1/watch/members?after=4&prefix=&wait_ms=30000"))
		Expect(changes[0].Deleted).To(BeTrue())
		b, err := s.Backends(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(b).To(Equal([]objectapi.Backend{{Name: "w1", Pool: "reel-lm", State: objectapi.BackendLeaving, ChecksFencing: true}}))
	})

	// Guards against a write that is reported as not written although it may have taken effect, and the reverse.
	DescribeTable("maps failures to the errors of the package",
		func(h http.HandlerFunc, writeErr, readErr error) {
			s := newTestStore(h)
			_, err := s.Create(ctx, "leases", "a", []byte("x"))
			Expect(err).To(MatchError(writeErr))
			_, err = s.Get(ctx, "leases", "a")
			Expect(err).To(MatchError(readErr))
		},
		Entry("429", respondWithStatus(429), objectapi.ErrUnavailable, objectapi.ErrUnavailable),
		Entry("503", respondWithStatus(503), objectapi.ErrUnavailable, objectapi.ErrUnavailable),
		Entry("500", respondWithStatus(500), objectapi.ErrOutcomeUnknown, objectapi.ErrUnavailable),
		Entry("412", respondWithStatus(412), objectapi.ErrConflict, objectapi.ErrConflict),
		Entry("404", respondWithStatus(404), objectapi.ErrNotFound, objectapi.ErrNotFound),
		Entry("413", respondWithStatus(413), objectapi.ErrTooLarge, objectapi.ErrTooLarge),
		Entry("closed without an answer", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }),
			objectapi.ErrOutcomeUnknown, objectapi.ErrUnavailable),
		Entry("no answer in time", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // the server notices a closed connection only after the body
			<-r.Context().Done()
		}), objectapi.ErrOutcomeUnknown, objectapi.ErrUnavailable),
	)

	It("reports a refused connection as unavailable, also for a write", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		addr := l.Addr().String()
		Expect(l.Close()).To(Succeed())
		_, err = objectapi.NewHTTPStore(addr, "a", testTimeout).Create(ctx, "leases", "a", nil)
		Expect(err).To(MatchError(objectapi.ErrUnavailable))
		Expect(errors.Is(err, objectapi.ErrOutcomeUnknown)).To(BeFalse())
	})

	// Guards against an automatic retry that conflicts with its own first attempt.
	It("does not retry a write on its own", func() {
		var calls atomic.Int32
		s := newTestStore(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet {
				w.Header().Set("ETag", `"1"`)
				return
			}
			calls.Add(1)
			panic(http.ErrAbortHandler)
		})
		_, err := s.Get(ctx, "leases", "a") // leaves an idle connection that the writes reuse
		Expect(err).NotTo(HaveOccurred())
		_, err = s.Update(ctx, "leases", "a", []byte("x"), 1)
		Expect(err).To(MatchError(objectapi.ErrOutcomeUnknown))
		Expect(s.Delete(ctx, "leases", "a", 1)).To(MatchError(objectapi.ErrOutcomeUnknown))
		Expect(calls.Load()).To(Equal(int32(2)))
	})

	It("rejects a value above the maximum size without a request", func() {
		s := newTestStore(func(http.ResponseWriter, *http.Request) { Fail("the store received a request") })
		_, err := s.Create(ctx, "journal", "a", make([]byte, objectapi.MaxValueBytes+1))
		Expect(err).To(MatchError(objectapi.ErrTooLarge))
	})
})

func respondWithStatus(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

var _ = Describe("Confirmed writes", func() {
	var ctx context.Context
	var m *objectapi.MemoryStore

	BeforeEach(func() {
		c, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		DeferCleanup(cancel)
		ctx, m = c, objectapi.NewMemoryStore()
	})

	// Guards against a journal that takes its own write, whose answer was lost, for the write of a successor.
	It("resolves a lost answer by reading the object back", func() {
		m.LoseAnswers(1)
		v, err := objectapi.CreateConfirmed(ctx, m, "journal", "a/1", []byte("mine"))
		Expect(err).NotTo(HaveOccurred())
		m.LoseAnswers(1)
		v2, err := objectapi.UpdateConfirmed(ctx, m, "journal", "a/1", []byte("mine 2"), v)
		Expect(err).NotTo(HaveOccurred())
		Expect(v2).To(BeNumerically(">", v))
		_, writes := m.CallCounts()
		Expect(writes).To(Equal(2))
	})

	It("reports a conflict when another writer has written the object", func() {
		_, err := m.Create(ctx, "journal", "a/1", []byte("seal"))
		Expect(err).NotTo(HaveOccurred())
		store := &lostRequestStore{MemoryStore: m, remaining: 1}
		_, err = objectapi.CreateConfirmed(ctx, store, "journal", "a/1", []byte("mine"))
		Expect(err).To(MatchError(objectapi.ErrConflict))
	})

	It("writes again when the lost write did not take effect", func() {
		store := &lostRequestStore{MemoryStore: m, remaining: 2}
		v, err := objectapi.CreateConfirmed(ctx, store, "journal", "a/1", []byte("mine"))
		Expect(err).NotTo(HaveOccurred())
		Expect(v).To(Equal(objectapi.Version(1)))
	})

	It("keeps the outcome unknown if the store does not answer the read", func() {
		m.LoseAnswers(1)
		store := &outageAfterCreateStore{MemoryStore: m}
		shortCtx, cancel := context.WithTimeout(ctx, testTimeout)
		defer cancel()
		_, err := objectapi.CreateConfirmed(shortCtx, store, "journal", "a/1", []byte("mine"))
		Expect(err).To(MatchError(objectapi.ErrOutcomeUnknown))
	})

	It("returns a conflict or an outage of the first write unchanged", func() {
		m.InjectConflicts(1)
		_, err := objectapi.CreateConfirmed(ctx, m, "journal", "a/1", nil)
		Expect(err).To(MatchError(objectapi.ErrConflict))
		m.SetOutage(true)
		_, err = objectapi.CreateConfirmed(ctx, m, "journal", "a/1", nil)
		Expect(err).To(MatchError(objectapi.ErrUnavailable))
	})
})

// lostRequestStore drops the first remaining creates before they reach the store and reports their outcome as
// unknown.
type lostRequestStore struct {
	*objectapi.MemoryStore
	remaining int
}

func (s *lostRequestStore) Create(ctx context.Context, kind, name string, value []byte) (objectapi.Version, error) {
	if s.remaining > 0 {
		s.remaining--
		return 0, objectapi.ErrOutcomeUnknown
	}
	return s.MemoryStore.Create(ctx, kind, name, value)
}

// outageAfterCreateStore starts an outage after the first create.
type outageAfterCreateStore struct{ *objectapi.MemoryStore }

func (s *outageAfterCreateStore) Create(ctx context.Context, kind, name string, value []byte) (objectapi.Version, error) {
	defer s.SetOutage(true)
	return s.MemoryStore.Create(ctx, kind, name, value)
}

var _ = Describe("MemoryStore", func() {
	It("ends a waiting watch at a change and at an outage", func() {
		ctx := context.Background()
		m := objectapi.NewMemoryStore()
		type result struct {
			changes []objectapi.Change
			err     error
		}
		results := make(chan result, 1)
		watch := func(after objectapi.Version) {
			c, _, err := m.Watch(ctx, "members", "", after)
			results <- result{c, err}
		}
		go watch(0)
		v, err := m.Create(ctx, "members", "a", []byte("x"))
		Expect(err).NotTo(HaveOccurred())
		var r result
		Eventually(results).Should(Receive(&r))
		Expect(r.changes).To(HaveLen(1))
		go watch(v)
		m.SetOutage(true)
		Eventually(results).Should(Receive(&r))
		Expect(r.err).To(MatchError(objectapi.ErrUnavailable))
	})
})

var _ = Describe("RelayStore", func() {
	var (
		ctx          = context.Background()
		local, other *objectapi.MemoryStore
		relay        *objectapi.RelayStore
		relayedCalls int
	)

	BeforeEach(func() {
		local, other, relayedCalls = objectapi.NewMemoryStore(), objectapi.NewMemoryStore(), 0
		relay = &objectapi.RelayStore{Local: local, RelayToPeer: func(ctx context.Context, r objectapi.RelayRequest) (objectapi.RelayAnswer, error) {
			relayedCalls++
			// The request and the answer are encoded and decoded as in a frame.
			var in objectapi.RelayRequest
			var out objectapi.RelayAnswer
			msgpackRoundTrip(r, &in)
			msgpackRoundTrip(objectapi.ServeRelay(ctx, other, in), &out)
			return out, nil
		}}
	})

	It("relays calls only while the local store is unavailable", func() {
		_, err := relay.Create(ctx, "leases", "a", []byte("1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(relayedCalls).To(BeZero())
		local.SetOutage(true)
		v, err := relay.Create(ctx, "leases", "a", []byte("2"))
		Expect(err).NotTo(HaveOccurred())
		_, err = relay.Create(ctx, "leases", "a", []byte("2"))
		Expect(err).To(MatchError(objectapi.ErrConflict))
		v, err = relay.Update(ctx, "leases", "a", []byte("3"), v)
		Expect(err).NotTo(HaveOccurred())
		o, err := relay.Get(ctx, "leases", "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(o).To(Equal(objectapi.Object{Kind: "leases", Name: "a", Version: v, Value: []byte("3")}))
		list, _, err := relay.List(ctx, "leases", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(list).To(HaveLen(1))
		Expect(relay.Delete(ctx, "leases", "a", v)).To(Succeed())
		_, err = relay.Get(ctx, "leases", "a")
		Expect(err).To(MatchError(objectapi.ErrNotFound))
	})

	// Guards against a write that takes effect twice, at the local store and through the peer.
	It("does not relay a write with an unknown outcome", func() {
		local.LoseAnswers(1)
		_, err := relay.Create(ctx, "leases", "a", nil)
		Expect(err).To(MatchError(objectapi.ErrOutcomeUnknown))
		Expect(relayedCalls).To(BeZero())
	})

	It("reports the outcome of a write as unknown when the exchange with the peer fails", func() {
		local.SetOutage(true)
		relay.RelayToPeer = func(context.Context, objectapi.RelayRequest) (objectapi.RelayAnswer, error) {
			return objectapi.RelayAnswer{}, errors.New("link failed")
		}
		_, err := relay.Create(ctx, "leases", "a", nil)
		Expect(err).To(MatchError(objectapi.ErrOutcomeUnknown))
		_, err = relay.Get(ctx, "leases", "a")
		Expect(err).To(MatchError(objectapi.ErrUnavailable))
		relay.RelayToPeer = func(context.Context, objectapi.RelayRequest) (objectapi.RelayAnswer, error) {
			return objectapi.RelayAnswer{}, objectapi.ErrUnavailable
		}
		_, err = relay.Create(ctx, "leases", "a", nil)
		Expect(err).To(MatchError(objectapi.ErrUnavailable))
	})
})

func msgpackRoundTrip(in, out any) {
	GinkgoHelper()
	b, err := msgpack.Marshal(in)
	Expect(err).NotTo(HaveOccurred())
	Expect(msgpack.Unmarshal(b, out)).To(Succeed())
}
