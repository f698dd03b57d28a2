"""Recording of roll-out evidence on nodes, and leaders that halt roll-outs."""
