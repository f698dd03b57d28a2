"""Records what one build of the entry node writes and another one reads."""
