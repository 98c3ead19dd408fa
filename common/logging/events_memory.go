package logging

// Events of service/memlimit.
var (
	MemoryRefused = Declare(1190, Warning, "connections use as much memory as they may; requests are refused", "limiter", "used", "limit", "connections", "bound", "refused", "evicted")
)
