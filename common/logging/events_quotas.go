package logging

// Events of service/quota.
var (
	QuotaRequestFailed   = Declare(1220, Info, "host that keeps the account of a team cannot be asked for tokens of its quota", "team", "peer", "error")
	QuotaHandoverFailed  = Declare(1222, Info, "accounts of teams' quotas could not be handed over; their next keeper waits and starts without tokens", "peer", "teams", "error")
	QuotaRequestRejected = Declare(1221, Warning, "request for tokens of a team's quota cannot be read", "from", "error")
)
