"""Decisions on moves of target versions."""
