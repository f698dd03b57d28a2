"""Lays out a site on this machine: settings, configuration and commands."""
