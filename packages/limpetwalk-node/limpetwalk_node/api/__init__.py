"""Callers' interface of the node."""
