package turnlog

import "time"

// Recovery is how the copies of a host are made again after it or its disk was lost.
type Recovery struct {
	// LostAfter is the time without an answer after which a host counts as lost, so that other hosts make its copies.
	LostAfter time.Duration
	// CopyBytesPerSecond bounds the copies that a host makes, and ServeBytesPerSecond those that it sends to others; 0 means
	// no bound.
	CopyBytesPerSecond, ServeBytesPerSecond float64
	// MaxBytes is the size of all inputs and outputs that a host may retain, so that its copies are made again in time.
	MaxBytes int64
}

const (
	// detectionFraction of the bound is for finding out that a host is gone, and copyFraction for making its copies. The rest
	// is for the start of the successor, the list of the hosts and the lists of the turns.
	detectionFraction = 0.25
	copyFraction      = 0.5
	// copyLinkFraction is the fraction of a link that copies may take from callers.
	copyLinkFraction = 0.75
)

// PlanRecovery returns how to make the copies of a host again within the time after which it counts no longer as lost.
// usableBytes is what inputs and outputs may use of its disk; linkBytesPerSecond is 0 if the bandwidth is unknown.
func PlanRecovery(bound time.Duration, usableBytes int64, linkBytesPerSecond float64) Recovery {
	copyTime := bound.Seconds() * copyFraction
	r := Recovery{
		LostAfter:          time.Duration(float64(bound) * detectionFraction),
		CopyBytesPerSecond: float64(usableBytes) / copyTime,
		MaxBytes:           usableBytes,
	}
	if linkBytesPerSecond > 0 {
		r.ServeBytesPerSecond = linkBytesPerSecond * copyLinkFraction
		r.CopyBytesPerSecond = min(r.CopyBytesPerSecond, r.ServeBytesPerSecond)
		r.MaxBytes = min(r.MaxBytes, int64(r.CopyBytesPerSecond*copyTime))
	}
	return r
}
