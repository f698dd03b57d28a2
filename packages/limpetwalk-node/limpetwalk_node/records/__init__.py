"""Durable records of non-idempotent requests."""
