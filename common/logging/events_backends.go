package logging

// Events of scheduling and of backend servers, 1800 to 1899.
var (
	_ = named("backend_list_reachable", 1800, Warning, "reachability of the platform's list of backend servers changed", "reachable")
	_ = named("group_taken", 1801, Info, "this host schedules a worker group", "group")
	_ = named("group_released", 1802, Info, "this host no longer schedules a worker group", "group")
	_ = named("worker_unreachable", 1803, Warning, "worker cannot be reached and gets no calls", "worker", "error")
	_ = named("worker_reachable", 1804, Info, "worker can be reached again", "worker")
	_ = named("leaving_notice", 1805, Info, "notice of a backend server's state changed", "worker", "address", "state")
)
