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
	// maxEngineAnswerBytes bounds the answer of an engine.
	maxEngineAnswerBytes = 1 << 20
	// defaultRetryAfter is the pause after a 429 without a time.
	defaultRetryAfter = time.Second
)

var errLapsed = errors.New("the lease of the order manager is over")

// orderBody is the body of POST /v1/orders.
type orderBody struct {
	Fence  uint64 `json:"fence"`
	Holder string `json:"holder"`
	orders.Order
}

func (s *Service) readEngine(ctx context.Context, e orders.ReadEngine) {
	ev := orders.EngineRead{Pool: e.Pool, Engine: e.Engine, ReadID: e.ReadID}
	ctx, cancel := context.WithTimeout(ctx, s.opts.Times.MaxOrderTransit)
	defer cancel()
	if err := s.getState(ctx, e.Address, &ev.State); err != nil {
		ev.Error = rootCause(err)
	}
	s.run.Publish(ev)
}

// rootCause returns the innermost message. The outer ones name local ports, which differ at each attempt
// and would make the status object change without a change of the state.
func rootCause(err error) string { return errors.UnwrapAll(err).Error() }

func (s *Service) getState(ctx context.Context, addr string, out *orders.EngineState) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL(addr)+"/v1/orders/state", nil)
	if err != nil {
		return err
	}
	resp, err := s.http.Do(req)
	if err != nil {
		return err
	}
	defer drain(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("engine answered %s", resp.Status)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxEngineAnswerBytes)).Decode(out)
}

// send sends an order if the lease is still valid right before it is written to the connection.
func (s *Service) send(ctx context.Context, e orders.SendOrder) {
	ev := orders.SendOrderCompleted{Pool: e.Pool, OrderID: e.OrderID}
	ctx, cancel := context.WithTimeout(ctx, s.opts.Times.MaxOrderTransit)
	defer cancel()
	s.post(ctx, e, &ev)
	s.hooks.Report("order_sent", map[string]any{
		"pool": e.Pool, "worker": e.Engine, "order": e.Order.String(), "fence": e.FencingToken,
		"result": string(ev.Result), "error": ev.Error,
	})
	s.run.Publish(ev)
}

func (s *Service) post(ctx context.Context, e orders.SendOrder, ev *orders.SendOrderCompleted) {
	b, err := json.Marshal(orderBody{Fence: e.FencingToken, Holder: s.opts.Holder, Order: e.Order})
	if err != nil {
		ev.Result, ev.Error = orders.OrderRejected, err.Error()
		return
	}
	valid := func() bool { return s.run.Clock().Now() < e.ValidUntil }
	if !valid() {
		ev.Result = orders.OrderLeaseExpired
		return
	}
	// The body is read after the connection is up, so a slow connection set-up does not let an order out
	// after the lease. A request whose body ends early is not a request to the engine.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL(e.Address)+"/v1/orders", &checkedBody{rest: bytes.NewReader(b), valid: valid})
	if err != nil {
		ev.Result, ev.Error = orders.OrderRejected, err.Error()
		return
	}
	req.ContentLength = int64(len(b))
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.http.Do(req)
	if err != nil {
		ev.Error = rootCause(err)
		var op *net.OpError
		switch {
		case errors.Is(err, errLapsed):
			ev.Result = orders.OrderLeaseExpired
		case errors.As(err, &op) && op.Op == "dial":
			ev.Result = orders.OrderRejected
		default:
			ev.Result = orders.OrderOutcomeUnknown
		}
		return
	}
	defer drain(resp.Body)
	readAnswer(resp, ev)
}

func readAnswer(resp *http.Response, ev *orders.SendOrderCompleted) {
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
		if err := json.NewDecoder(io.LimitReader(resp.Body, maxEngineAnswerBytes)).Decode(&body); err == nil {
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

// checkedBody is a request body that ends in errLapsed once the lease is over.
type checkedBody struct {
	rest  io.Reader
	valid func() bool
}

func (b *checkedBody) Read(p []byte) (int, error) {
	if !b.valid() {
		return 0, errLapsed
	}
	return b.rest.Read(p)
}

// drain lets the connection be used again.
func drain(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxEngineAnswerBytes))
	_ = body.Close()
}

func baseURL(addr string) string {
	if strings.Contains(addr, "://") {
		return strings.TrimSuffix(addr, "/")
	}
	return "http://" + addr
}
