"""Stand-ins of the platform's services, all in one process."""
