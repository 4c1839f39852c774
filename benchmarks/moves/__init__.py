"""Benchmark of the decisions on moves, in virtual time."""
