"""Load tool that sends a workload to entry nodes and checks guarantees."""
