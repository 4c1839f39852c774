"""Slopes of each role's cost, measured on real processes of one machine."""
