"""Benchmark of the time that a rate limit takes for each call."""
