package logging

// Events of the membership, 1300 to 1399.
var (
	_ = named("lease_acquired", 1300, Info, "lease acquired", "journal")
	_ = named("start_wait", 1301, Warning, "start waits for the store to answer", "error")
	_ = named("store_changed", 1302, Warning, "reachability of the store changed", "reachable")
	_ = named("suspicion_changed", 1303, Warning, "suspicion of a host changed", "host", "suspected")
	_ = named("claim", 1304, Info, "tried to claim the journal of a dead host", "journal", "won")
	_ = named("adoption", 1305, Info, "adoption of a journal ended", "journal", "error")
	_ = named("deposed", 1306, Warning, "lease lost; the incarnation is fenced", "reason")
	_ = named("draining", 1307, Info, "peers are informed that this host is draining")
	_ = named("handed_over", 1308, Info, "a successor has adopted the journal", "heir")
	_ = named("lease_invalid", 1309, Warning, "lease object cannot be read", "host", "error")
	_ = named("journal_delete_failed", 1310, Warning, "segments of an adopted journal could not be deleted", "journal", "error")
)
