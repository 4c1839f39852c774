"""Benchmark of calls through nodes, compared with a plain proxy."""
