"""Processes of the benchmark: targets, nodes, a plain proxy, load."""
