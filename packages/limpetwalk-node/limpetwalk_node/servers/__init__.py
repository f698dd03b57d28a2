"""Load, crashes and outcomes of backend servers."""
