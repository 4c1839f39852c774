"""Benchmark of the decisions about moves, in virtual time."""
