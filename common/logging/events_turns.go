package logging

// Events of retained turns, 1240 to 1279.
var (
	DiskHostStarted    = Declare(1240, Info, "host with a disk serves retained turns", "host", "incarnation", "disk", "new", "turns", "bytes", "damaged", "ms", "peer")
	DiskEngineFailed   = Declare(1241, Error, "storage engine reports an error", "error")
	DiskHostRegistered = Declare(1242, Info, "host with a disk is registered in the store", "host", "state", "revision")
	DiskHostNotWritten = Declare(1243, Warning, "entry of a host with a disk could not be written to the store", "host", "error")
	DiskHostListed     = Declare(1244, Info, "host with a disk joined or changed", "host", "state", "disk", "peer")
	DiskHostUnlisted   = Declare(1245, Info, "host with a disk left", "host")
	DiskHostRejected   = Declare(1246, Warning, "entry of a host with a disk is invalid", "host", "error")
	DiskReplaced       = Declare(1247, Error, "contents of the disk cannot be read; the host starts with an empty disk and copies its turns from other hosts", "error")
	DiskHostLost       = Declare(1248, Warning, "host with a disk does not answer; its copies are made again at other hosts", "host", "silent_ms")
	TurnsCopied        = Declare(1250, Info, "copies of retained turns were made", "turns", "bytes", "ms", "pending")
	TurnCopyFailed     = Declare(1251, Warning, "copies of retained turns could not be made; this is repeated", "peer", "pending", "error")
	TurnDamaged        = Declare(1252, Error, "record of a retained turn is damaged; it is copied from another host", "turn", "error")
	TurnsExpired       = Declare(1253, Debug, "retained turns expired", "turns", "bytes")
	TurnNotKept        = Declare(1254, Warning, "turn could not be retained; the caller's connection is reset", "request", "error")
	DiskFull           = Declare(1255, Warning, "disk has no space for more turns; they are refused", "turns", "bytes", "used")
	TurnNotFound       = Declare(1256, Info, "turn that a caller continues is not retained", "request", "turn", "error")
	TurnUncertain      = Declare(1257, Warning, "turns that a caller continues could not be read", "request", "turn", "error")
	RetirementWaits    = Declare(1258, Info, "retirement waits until the turns have their copies at other hosts", "host", "turns", "waiting_for")
)
