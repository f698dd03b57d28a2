"""Operator command line."""
