"""Settings of the whole test run."""

from hypothesis import settings

# Derandomized and without a deadline, so that each run has the same verdict.
settings.register_profile('stable', derandomize=True, deadline=None)
settings.load_profile('stable')
