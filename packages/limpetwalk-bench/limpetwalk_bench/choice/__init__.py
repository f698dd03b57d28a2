"""Comparison of ways to choose a replica, in virtual time."""
