"""Configuration in force on the node."""
