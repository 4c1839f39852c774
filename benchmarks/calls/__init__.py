"""Benchmark of the path of a call through nodes."""
