package logging

// Events of the configuration, 1400 to 1499.
var (
	_ = declareNamed("configuration_in_force", 1400, Info, "configuration in force", "ticket", "author", "origin")
	_ = declareNamed("configuration_confirmed", 1401, Info, "configuration synced with the store or a peer", "ticket", "origin")
	_ = declareNamed("ticket_accepted", 1402, Info, "ticket accepted", "ticket", "author", "tag")
	_ = declareNamed("ticket_refused", 1403, Warning, "ticket refused", "ticket", "author", "code", "outcome")
	_ = declareNamed("ticket_push_failed", 1404, Debug, "ticket could not be pushed to a peer; the peer fetches it after a heartbeat", "peer", "ticket", "error")
	_ = declareNamed("ticket_fetch_failed", 1405, Warning, "configuration could not be fetched from a peer", "peer", "ticket", "error")
	_ = declareNamed("configuration_read_failed", 1406, Warning, "configuration could not be read from the store", "error")
	_ = declareNamed("ticket_body_left", 1407, Warning, "body of a refused ticket could not be deleted", "ticket", "tag", "error")
	_ = declareNamed("configuration_cache_unreadable", 1408, Warning, "cached configuration cannot be used", "error")
	_ = declareNamed("configuration_cache_unwritable", 1409, Warning, "configuration could not be cached", "error")
)
