"""Experiments that compare policies over the same seeds."""
