package ingress

// MinConnectionsPerServer is the least number of connections that a host opens to a server.
const MinConnectionsPerServer = minConnectionsPerServer

// WaitingRequests returns the number of requests that wait for a server.
func (s *Servers) WaitingRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, waiting := range s.waiters {
		n += len(waiting)
	}
	return n
}
