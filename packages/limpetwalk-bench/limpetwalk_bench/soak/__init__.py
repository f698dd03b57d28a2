"""Randomized fault-injection soak of entry nodes as processes."""
