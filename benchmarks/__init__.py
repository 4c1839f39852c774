"""Benchmarks of calls, moves, distribution, capacity and the store."""
