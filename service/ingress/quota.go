package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/service/quota"
)

const (
	// maxQuotaWait is how long a request waits for the host that keeps the account of its team: a new one grants nothing
	// until the former one's tokens have expired.
	maxQuotaWait = 2 * time.Second
	// quotaWaitFraction is the fraction of a request's remaining time that it may wait for that.
	quotaWaitFraction = 0.25
)

// Quotas keeps the requests of teams within their quotas.
type Quotas interface {
	// Admit claims a part of the team's quota for one request. A request that starts a program is refused earlier, and does
	// not wait. The error is quota.ExceededError if the quota is used up,
	// quota.ErrUnavailable if that is not known, or that of ctx.
	Admit(ctx context.Context, team string, startsProgram bool, maxWait time.Duration) (QuotaClaim, error)
}

// QuotaClaim is the claim of one request. It must be ended by Use or Release; calls after that do nothing.
type QuotaClaim interface {
	// Use counts the request, which is sent now. The errors are those of Admit.
	Use(ctx context.Context) error
	Release()
}

// hostQuotas implements Quotas.
type hostQuotas struct{ service *quota.Service }

// Admit implements Quotas.
func (q hostQuotas) Admit(ctx context.Context, team string, startsProgram bool, maxWait time.Duration) (QuotaClaim, error) {
	return q.service.Admit(ctx, team, startsProgram, maxWait)
}

// claimQuota claims a part of the quota of the request's team, or refuses the request.
func (x *exchange) claimQuota(ctx context.Context) *failure {
	if x.team == nil || x.team.RatePerSecond <= 0 || x.ingress.options.Quotas == nil {
		return nil
	}
	remaining := x.deadline.Sub(x.ingress.now())
	claim, err := x.ingress.options.Quotas.Admit(ctx, x.team.Name, x.startsProgram(), min(maxQuotaWait, time.Duration(quotaWaitFraction*float64(remaining))))
	if err == nil {
		x.quotaClaim = claim
		return nil
	}
	if fail := x.quotaFailure(err); fail != nil {
		return fail
	}
	return x.noResponseFailure(ctx)
}

// releaseQuota ends the claim of a request that was not sent.
func (x *exchange) releaseQuota() {
	if x.quotaClaim != nil {
		x.quotaClaim.Release()
	}
}

// useQuota counts the request when it is first sent to a server.
func (x *exchange) useQuota(ctx context.Context) error {
	if x.quotaClaim == nil {
		return nil
	}
	return x.quotaClaim.Use(ctx)
}

// quotaFailure returns the failure of a request that was refused by Quotas with err; nil for another error.
func (x *exchange) quotaFailure(err error) *failure {
	var exceeded quota.ExceededError
	switch {
	case errors.As(err, &exceeded):
		return &failure{status: http.StatusTooManyRequests, reason: "quota", retryAfter: jitter(max(exceeded.RetryAfter, minRetryAfter)), cause: err}
	case errors.Is(err, quota.ErrUnavailable):
		return &failure{status: http.StatusServiceUnavailable, reason: "quota not known", retryAfter: x.ingress.retryAfter(""), cause: err}
	}
	return nil
}
