"""Randomized soak of entry nodes as separate processes, under faults."""
