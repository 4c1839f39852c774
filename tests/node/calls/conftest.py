"""Fixtures of the tests on the path of a call."""

import random

import pytest


@pytest.fixture(autouse=True)
def _fixed_choices() -> None:
    """Give every test the same random choices of targets."""
    random.seed(7)
