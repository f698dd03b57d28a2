"""Configuration: files, checks, snapshots and the generation in force."""
