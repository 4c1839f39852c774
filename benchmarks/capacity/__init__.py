"""Benchmark of the cost of each role as a function of size."""
