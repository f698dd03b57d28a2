"""Decisions about a request: version, model, replica, admission."""
