"""Benchmark of the store of a control instance at the design size."""
