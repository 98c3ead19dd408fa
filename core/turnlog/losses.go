package turnlog

// Losses counts the hosts whose disks do not have, or may not have, the turns that they should have.
type Losses struct {
	// Unreachable hosts are lost, but their disks may come back.
	Unreachable int
	// Refilling hosts have lost their disks, and not all copies have been made again since.
	Refilling int
}

// CountLosses counts the losses in a list of hosts.
func CountLosses(hosts []Host) Losses {
	var l Losses
	for _, h := range hosts {
		switch {
		case h.State == Lost:
			l.Unreachable++
		case h.Refilling:
			l.Refilling++
		}
	}
	return l
}

// MayMissTurns reports whether turns may have lost all of their copies, if each has one more than the tolerated number of
// losses.
func (l Losses) MayMissTurns(tolerated int) bool { return l.Refilling > tolerated }

// LeavesACopy reports whether the hosts that can be reached have a copy of each turn that any disk still has.
func (l Losses) LeavesACopy(tolerated int) bool {
	return l.Unreachable == 0 || l.Unreachable+l.Refilling <= tolerated
}
