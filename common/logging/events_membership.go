package logging

// Events of the membership, 1300 to 1399.
var (
	_ = declareNamed("lease_acquired", 1300, Info, "lease acquired", "journal")
	_ = declareNamed("start_wait", 1301, Warning, "start waits for the store to answer", "error")
	_ = declareNamed("store_changed", 1302, Warning, "reachability of the store changed", "reachable")
	_ = declareNamed("suspicion_changed", 1303, Warning, "suspicion of a host changed", "host", "suspected")
	_ = declareNamed("claim", 1304, Info, "tried to claim the journal of a dead host", "journal", "won")
	_ = declareNamed("adoption", 1305, Info, "adoption of a journal ended", "journal", "error")
	_ = declareNamed("deposed", 1306, Warning, "lease lost; the incarnation is fenced", "reason")
	_ = declareNamed("draining", 1307, Info, "peers are informed that this host is draining")
	_ = declareNamed("handed_over", 1308, Info, "a successor has adopted the journal", "heir")
	_ = declareNamed("lease_invalid", 1309, Warning, "lease object cannot be read", "host", "error")
	_ = declareNamed("journal_delete_failed", 1310, Warning, "segments of an adopted journal could not be deleted", "journal", "error")
)
