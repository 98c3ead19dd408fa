package logging

// Events of the orders to engines, 1500 to 1599.
var (
	_ = declareNamed("order_manager_changed", 1500, Info, "order manager of a pool changed", "pool", "fence", "held")
	_ = declareNamed("order_sent", 1501, Info, "order sent to an engine", "pool", "worker", "order", "fence", "result", "error")
	_ = declareNamed("order_lease_unreadable", 1502, Warning, "order lease cannot be read", "pool", "error")
	_ = declareNamed("pool_status_not_written", 1503, Warning, "status of a pool could not be written", "pool", "error")
)
