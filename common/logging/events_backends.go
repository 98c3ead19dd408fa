package logging

// Events of scheduling and of backend servers, 1800 to 1899.
var (
	_ = declareNamed("backend_list_reachable", 1800, Warning, "reachability of the platform's list of backend servers changed", "reachable")
	_ = declareNamed("group_taken", 1801, Info, "this host schedules a worker group", "group")
	_ = declareNamed("group_released", 1802, Info, "this host no longer schedules a worker group", "group")
	_ = declareNamed("worker_unreachable", 1803, Warning, "worker cannot be reached and gets no calls", "worker", "error")
	_ = declareNamed("worker_reachable", 1804, Info, "worker can be reached again", "worker")
	_ = declareNamed("leaving_notice", 1805, Info, "notice of a backend server's state changed", "worker", "address", "state")
)
