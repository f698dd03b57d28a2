"""Cost that an entry node adds to a call, beside a bare pass-through."""
