package logging

// Events of service/quota.
var (
	QuotaRequestFailed   = Declare(1220, Info, "host that keeps the account of a team cannot be asked for tokens of its quota", "team", "peer", "error")
	QuotaRequestRejected = Declare(1221, Warning, "request for tokens of a team's quota cannot be read", "from", "error")
)
