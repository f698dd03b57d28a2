"""Messages between entry nodes, and the connections that carry them."""
