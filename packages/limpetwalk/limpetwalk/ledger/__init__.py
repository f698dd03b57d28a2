"""The ledger: one bill entry for each answered request."""
