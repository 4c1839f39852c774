"""Calls through the two nodes of a mesh, measured over real processes."""
