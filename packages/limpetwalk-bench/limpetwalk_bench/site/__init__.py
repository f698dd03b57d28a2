"""Writes settings, configuration and commands of a local site."""
