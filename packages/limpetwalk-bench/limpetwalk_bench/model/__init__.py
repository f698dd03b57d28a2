"""Model of a cluster's load in simulated time, without a network."""
