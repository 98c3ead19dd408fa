package logging

// Events of requests that end backend servers, of servers that leave and of outages of the store.
var (
	VerdictStored       = Declare(1184, Info, "verdict on a request that ends backend servers was stored", "fingerprint", "ends", "quarantined")
	VerdictsUnavailable = Declare(1185, Warning, "verdicts on requests that end backend servers cannot be read or written; this is repeated", "error")
	VerdictsRead        = Declare(1186, Info, "stored verdicts on requests that end backend servers were read", "verdicts")
	VerdictRejected     = Declare(1187, Warning, "stored verdict on a request that ends backend servers cannot be used", "fingerprint", "error")
	ServerLeaving       = Declare(1188, Info, "backend server leaves; it gets no new requests", "server", "service", "origin")
	StoreWasSilent      = Declare(1189, Warning, "store did not answer for some time; entries that are missing now stay in use for 2 s", "kind", "silent_for")
)
