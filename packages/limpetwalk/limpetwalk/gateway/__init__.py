"""Decisions of an entry node that forwards requests by route.

Nothing here touches a network; clocks and random sources are passed in.
"""
