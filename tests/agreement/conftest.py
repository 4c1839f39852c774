"""Fixtures of the replicated log's tests."""

from collections.abc import Callable, Iterator
from contextlib import ExitStack, closing

import pytest

from tests.agreement.cluster import Cluster

MakeCluster = Callable[..., Cluster]


@pytest.fixture
def make_cluster() -> Iterator[MakeCluster]:
    """Return a factory of clusters that are closed after the test."""
    with ExitStack() as stack:
        yield lambda *args, **options: stack.enter_context(
            closing(Cluster(*args, **options)),
        )
