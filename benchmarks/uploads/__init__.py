"""Benchmark of bursts of uploads at a node of a mesh of real processes."""
