"""Stand-ins that speak the protocol of the users' platform."""
