"""Decisions of an entry node that forwards requests by route.

Nothing here does network I/O; clocks and random sources are injected.
"""
