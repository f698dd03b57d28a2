"""Operators' interface of the node."""
