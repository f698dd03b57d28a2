"""Permits for backend servers in cold start."""
