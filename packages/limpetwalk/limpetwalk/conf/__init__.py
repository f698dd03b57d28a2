"""Configuration: YAML files, checks, snapshots and accepted generations."""
