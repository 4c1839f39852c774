"""Benchmark of calls through the two nodes of a mesh of real processes."""
