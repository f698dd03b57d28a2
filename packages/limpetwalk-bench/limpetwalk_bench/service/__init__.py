"""Stand-in of a plain service."""
