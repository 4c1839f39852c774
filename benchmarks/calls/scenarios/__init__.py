"""Scenarios of the benchmark, each a coroutine that returns its figures."""
