package logging

// Events of service/access.
var (
	ConfigNotConfirmed = Declare(1200, Warning, "configuration was not confirmed lately; if that goes on, requests with API keys are refused", "age")
	ConfigConfirmed    = Declare(1201, Info, "configuration is confirmed again")
	ConfirmRejected    = Declare(1202, Warning, "a peer's request to confirm the configuration cannot be read", "from", "error")
)
