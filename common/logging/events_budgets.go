package logging

// Events of the founders of programs.
var (
	FoundersChanged     = Declare(1161, Info, "generation of the hosts that account for programs was read", "generation", "members", "member")
	FoundersProposed    = Declare(1162, Info, "new generation of the hosts that account for programs was written", "generation", "members", "error")
	FoundersReadFailed  = Declare(1163, Warning, "generations of the hosts that account for programs cannot be read; programs without a record are refused after 30 s", "error")
	FoundersRejected    = Declare(1164, Warning, "generations of the hosts that account for programs are invalid", "revision", "error")
	FoundersRightLapsed = Declare(1165, Warning, "this host has not confirmed the generation for 30 s; programs without a record need one", "generation")
)
