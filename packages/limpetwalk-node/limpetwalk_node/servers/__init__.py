"""What the node knows of backend servers."""
