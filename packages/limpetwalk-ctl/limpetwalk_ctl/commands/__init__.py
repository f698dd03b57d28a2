"""Commands of limpetctl, one a module."""
