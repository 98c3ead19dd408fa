package objectapi

// sentinelError wraps one of the errors declared in this package and adds a cause to its text. The cause is not
// unwrapped: the ErrUnavailable of a read inside a write with an unknown outcome must not make the write match
// ErrUnavailable. It works with errors.Is of the standard library and of cockroachdb/errors; the latter's Mark
// does not work with the former.
type sentinelError struct{ cause, sentinel error }

func withSentinel(cause, sentinel error) error {
	return &sentinelError{cause: cause, sentinel: sentinel}
}

func (e *sentinelError) Error() string { return e.sentinel.Error() + ": " + e.cause.Error() }

func (e *sentinelError) Unwrap() error { return e.sentinel }
