package objectapi

// sentinelError gives a cause one of the typed errors of this package. The cause is not unwrapped: an
// unavailable read inside a write with an unknown outcome must not make the write look unavailable.
// It works with errors.Is of the standard library and of cockroachdb/errors; the latter's Mark does not.
type sentinelError struct{ cause, sentinel error }

func withSentinel(cause, typed error) error { return &sentinelError{cause: cause, sentinel: typed} }

func (e *sentinelError) Error() string { return e.sentinel.Error() + ": " + e.cause.Error() }

func (e *sentinelError) Unwrap() error { return e.sentinel }
