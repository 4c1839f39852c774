"""Benchmark of the selection of a target."""
