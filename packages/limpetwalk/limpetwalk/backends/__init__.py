"""Clients of backend servers and the choice between them."""
