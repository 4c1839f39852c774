"""Roles of processes: target, node, plain proxy and load generator."""
