"""Measures how transfers to good and bad versions are decided."""
