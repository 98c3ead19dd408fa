package logging

// Events of common/wire.
var (
	LinkOpened          = Declare(1600, Debug, "link to a peer opened", "peer")
	LinkBroken          = Declare(1601, Warning, "link to a peer failed; the next frame opens a new one", "peer", "error", "exchanges")
	PeerUnreachable     = Declare(1602, Warning, "peer cannot be reached", "peer", "error")
	LinkClosed          = Declare(1603, Info, "link from a peer closed", "remote", "from", "error")
	AnswerFrameDropped  = Declare(1604, Debug, "answer dropped: no exchange waits for it", "from", "type", "request")
	ExchangeReadTooSlow = Declare(1605, Warning, "exchange failed: its answer is read too slowly", "peer", "step")
	AcceptFailed        = Declare(1606, Warning, "connection of a peer could not be accepted", "error")
	MessageDropped      = Declare(1607, Warning, "one-way message dropped: its type has no handler", "from", "type")
)
