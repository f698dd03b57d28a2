"""Entry node that forwards requests by route on a platform's instances."""
