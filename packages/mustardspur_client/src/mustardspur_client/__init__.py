"""Operator's command line."""
