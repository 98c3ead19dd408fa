package logging

// Events of placement and of the traffic between failure domains, 1280 to 1299.
var SpillChanged = Declare(1280, Info, "requests begin or cease to leave the failure domain for lack of servers", "service", "domain", "leaving")
