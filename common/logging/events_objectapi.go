package logging

// Events of common/objectapi.
var (
	StoreUnavailable    = Declare(1700, Warning, "object store is unavailable", "store", "error")
	StoreAvailable      = Declare(1701, Info, "object store is available again", "store", "unavailable_for")
	WriteOutcomeUnknown = Declare(1702, Warning, "answer to an object store write was lost", "store", "error")
	StoreCallRelayed    = Declare(1703, Debug, "object store call sent through a peer", "operation", "object", "error")
	BackendRejected     = Declare(1704, Warning, "entry of a backend server in the platform's list is invalid", "entry", "error")
)
