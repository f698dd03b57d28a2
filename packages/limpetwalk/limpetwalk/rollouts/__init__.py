"""Roll-outs: evidence of versions and the guards that halt bad ones."""
