"""Benchmark of the distribution of configuration and targets."""
