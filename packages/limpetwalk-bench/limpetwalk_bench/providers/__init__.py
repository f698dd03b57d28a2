"""Stand-ins for the platform's services, in one process."""
