package objectapi

// typedError gives a cause one of the typed errors of this package. The cause is not unwrapped: an
// unavailable read inside a write with an unknown outcome must not make the write look unavailable.
// It works with errors.Is of the standard library and of cockroachdb/errors; the latter's Mark does not.
type typedError struct{ cause, typed error }

func typed(cause, typed error) error { return &typedError{cause: cause, typed: typed} }

func (e *typedError) Error() string { return e.typed.Error() + ": " + e.cause.Error() }

func (e *typedError) Unwrap() error { return e.typed }
