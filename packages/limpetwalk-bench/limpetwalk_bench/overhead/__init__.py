"""Cost that an entry node adds to a call, and a pass-through to compare."""
