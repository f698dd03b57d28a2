"""Stand-ins of the hosting platform and of its backend servers."""
