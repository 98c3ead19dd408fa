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
	// maxEngineResponseBytes bounds the body of an engine's response.
	maxEngineResponseBytes = 1 << 20
	// defaultRetryAfter is the delay after a 429 response without a Retry-After header in seconds.
	defaultRetryAfter = time.Second
)

var errLeaseExpired = errors.New("order lease expired before the order was sent")

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

// rootCause returns the innermost message. The outer ones contain local ports, which differ between attempts and
// would change the status object although the state of the engine is the same.
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
		return errors.Newf("read order state of engine at %s: status %s", addr, resp.Status)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxEngineResponseBytes)).Decode(out)
}

// sendOrder sends an order unless the lease has expired right before the body is written to the connection.
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
	payload, err := json.Marshal(orderRequest{FencingToken: e.FencingToken, Holder: s.opts.Holder, Order: e.Order})
	if err != nil {
		ev.Result, ev.Error = orders.OrderRejected, err.Error()
		return
	}
	leaseValid := func() bool { return s.runtime.Clock().Now() < e.ValidUntil }
	if !leaseValid() {
		ev.Result = orders.OrderLeaseExpired
		return
	}
	// The transport reads the body once the connection is established, so that a slow connect doesn't delay an order
	// beyond the lease. The engine discards a request with an incomplete body.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL(e.Address)+"/v1/orders", &leaseCheckedBody{body: bytes.NewReader(payload), leaseValid: leaseValid})
	if err != nil {
		ev.Result, ev.Error = orders.OrderRejected, err.Error()
		return
	}
	req.ContentLength = int64(len(payload))
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.httpClient.Do(req)
	if err != nil {
		ev.Error = rootCause(err)
		var opErr *net.OpError
		switch {
		case errors.Is(err, errLeaseExpired):
			ev.Result = orders.OrderLeaseExpired
		case errors.As(err, &opErr) && opErr.Op == "dial":
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
	ev.Result, ev.Error = orders.OrderRejected, "order rejected with status "+resp.Status
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
		delay := defaultRetryAfter
		if n, err := strconv.Atoi(retryAfter); err == nil && n > 0 {
			delay = time.Duration(n) * time.Second
		}
		ev.RetryAfterMS = delay.Milliseconds()
	}
}

// leaseCheckedBody is a request body whose reads fail with errLeaseExpired once the lease has expired.
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

// discardBody reads and closes the body, so that the connection can be reused.
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
