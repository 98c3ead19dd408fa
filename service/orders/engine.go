package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/core/orders"
)

const (
	// maxEngineResponseBytes bounds the answer of an engine.
	maxEngineResponseBytes = 1 << 20
	// defaultRetryAfter is the pause after a 429 without a time.
	defaultRetryAfter = time.Second
)

var errLeaseExpired = errors.New("the lease of the order manager is over")

// orderRequest is the body of POST /v1/orders.
type orderRequest struct {
	FencingToken uint64 `json:"fence"`
	Holder       string `json:"holder"`
	orders.Order
}

func (s *Service) readEngineState(ctx context.Context, e orders.ReadEngine) {
	ev := orders.EngineRead{Pool: e.Pool, Engine: e.Engine, ReadID: e.ReadID}
	ctx, cancel := context.WithTimeout(ctx, s.opts.Settings.MaxOrderTransit)
	defer cancel()
	if err := s.getEngineState(ctx, e.Address, &ev.State); err != nil {
		ev.Error = rootCause(err)
	}
	s.runtime.Publish(ev)
}

// rootCause returns the innermost message. The outer ones name local ports, which differ at each attempt
// and would make the status object change without a change of the state.
func rootCause(err error) string { return errors.UnwrapAll(err).Error() }

func (s *Service) getEngineState(ctx context.Context, addr string, out *orders.EngineState) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL(addr)+"/v1/orders/state", nil)
	if err != nil {
		return err
	}
	resp, err := s.httpClient.Do(req)
	if err != nil {
		return err
	}
	defer discardBody(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("engine answered %s", resp.Status)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxEngineResponseBytes)).Decode(out)
}

// sendOrder sends an order if the lease is still valid right before it is written to the connection.
func (s *Service) sendOrder(ctx context.Context, e orders.SendOrder) {
	ev := orders.SendOrderCompleted{Pool: e.Pool, OrderID: e.OrderID}
	ctx, cancel := context.WithTimeout(ctx, s.opts.Settings.MaxOrderTransit)
	defer cancel()
	s.postOrder(ctx, e, &ev)
	s.hooks.LogEvent("order_sent", map[string]any{
		"pool": e.Pool, "worker": e.Engine, "order": e.Order.String(), "fence": e.FencingToken,
		"result": string(ev.Result), "error": ev.Error,
	})
	s.runtime.Publish(ev)
}

func (s *Service) postOrder(ctx context.Context, e orders.SendOrder, ev *orders.SendOrderCompleted) {
	b, err := json.Marshal(orderRequest{FencingToken: e.FencingToken, Holder: s.opts.Holder, Order: e.Order})
	if err != nil {
		ev.Result, ev.Error = orders.OrderRejected, err.Error()
		return
	}
	valid := func() bool { return s.runtime.Clock().Now() < e.ValidUntil }
	if !valid() {
		ev.Result = orders.OrderLeaseExpired
		return
	}
	// The body is read after the connection is up, so a slow connection set-up does not let an order out
	// after the lease. A request whose body ends early is not a request to the engine.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL(e.Address)+"/v1/orders", &leaseCheckedBody{body: bytes.NewReader(b), leaseValid: valid})
	if err != nil {
		ev.Result, ev.Error = orders.OrderRejected, err.Error()
		return
	}
	req.ContentLength = int64(len(b))
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.httpClient.Do(req)
	if err != nil {
		ev.Error = rootCause(err)
		var op *net.OpError
		switch {
		case errors.Is(err, errLeaseExpired):
			ev.Result = orders.OrderLeaseExpired
		case errors.As(err, &op) && op.Op == "dial":
			ev.Result = orders.OrderRejected
		default:
			ev.Result = orders.OrderOutcomeUnknown
		}
		return
	}
	defer discardBody(resp.Body)
	readOrderResponse(resp, ev)
}

func readOrderResponse(resp *http.Response, ev *orders.SendOrderCompleted) {
	if resp.StatusCode == http.StatusAccepted || resp.StatusCode == http.StatusOK {
		ev.Result = orders.OrderAccepted
		return
	}
	ev.Result, ev.Error = orders.OrderRejected, "engine answered "+resp.Status
	retryAfter := resp.Header.Get("Retry-After")
	switch {
	case resp.StatusCode == http.StatusConflict:
		var body struct {
			Fence uint64 `json:"fence"`
		}
		if err := json.NewDecoder(io.LimitReader(resp.Body, maxEngineResponseBytes)).Decode(&body); err == nil {
			ev.Result, ev.FencingToken = orders.OrderFenced, body.Fence
		}
	case resp.StatusCode == http.StatusTooManyRequests || retryAfter != "":
		pause := defaultRetryAfter
		if n, err := strconv.Atoi(retryAfter); err == nil && n > 0 {
			pause = time.Duration(n) * time.Second
		}
		ev.RetryAfterMS = pause.Milliseconds()
	}
}

// leaseCheckedBody is a request body that ends in errLapsed once the lease is over.
type leaseCheckedBody struct {
	body       io.Reader
	leaseValid func() bool
}

func (b *leaseCheckedBody) Read(p []byte) (int, error) {
	if !b.leaseValid() {
		return 0, errLeaseExpired
	}
	return b.body.Read(p)
}

// discardBody lets the connection be used again.
func discardBody(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxEngineResponseBytes))
	_ = body.Close()
}

func baseURL(addr string) string {
	if strings.Contains(addr, "://") {
		return strings.TrimSuffix(addr, "/")
	}
	return "http://" + addr
}
