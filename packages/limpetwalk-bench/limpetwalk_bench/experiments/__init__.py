"""Experiments: policies side by side on the same seeds."""
