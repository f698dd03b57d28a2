"""Clients of backend servers, by protocol."""
