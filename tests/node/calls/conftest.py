"""Fixtures for the tests of call forwarding."""

import random

import pytest


@pytest.fixture(autouse=True)
def _fixed_choices() -> None:
    """Seed the random choices of targets for every test."""
    random.seed(7)
