"""Entry node: the callers' API, routing and the roles taken by lease."""
