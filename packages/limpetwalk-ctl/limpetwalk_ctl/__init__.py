"""Command line tool of operators, limpetctl."""
