"""Benchmark of the applied store at the design size."""
