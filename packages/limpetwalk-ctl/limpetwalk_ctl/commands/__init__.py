"""Commands of limpetctl, one per module."""
