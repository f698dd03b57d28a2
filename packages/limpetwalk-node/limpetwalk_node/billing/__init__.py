"""Bill entries and their way to the ledger."""
