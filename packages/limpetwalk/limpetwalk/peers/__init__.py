"""Messages and links between entry nodes."""
