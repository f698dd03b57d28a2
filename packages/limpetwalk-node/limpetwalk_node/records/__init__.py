"""Runs non-idempotent requests at most once, by durable records."""
