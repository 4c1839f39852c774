"""Hypothesis settings for all tests."""

from hypothesis import settings

# Derandomized and without a deadline, so that all runs give the same result.
settings.register_profile('stable', derandomize=True, deadline=None)
settings.load_profile('stable')
