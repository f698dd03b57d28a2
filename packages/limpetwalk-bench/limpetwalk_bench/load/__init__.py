"""Load tool: sends a workload at entry nodes and checks the promises."""
