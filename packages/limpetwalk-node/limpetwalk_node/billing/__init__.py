"""Writes bill entries to the ledger."""
