"""Tests of instances that are short of memory for a while."""

from collections.abc import Callable
from typing import Any, Final

import pytest
from mustardspur_agreement import links, replication

from tests.agreement.conftest import MakeCluster
from tests.agreement.test_cluster import VOTERS

_REFUSED: Final = 5


class _Memory:
    """Refuses memory to the first calls of a function.

    Parameters
    ----------
    function : callable
        The function.
    refused : int
        How many calls are refused.
    """

    def __init__(self, function: Callable[..., Any], refused: int) -> None:
        """Initialise before the first call."""
        self._function = function
        self._refused = refused

    def call(self, *details: Any, **options: Any) -> Any:
        """Call the function if there is memory."""
        if self._refused:
            self._refused -= 1
            raise MemoryError
        return self._function(*details, **options)


@pytest.mark.parametrize(
    ('module', 'name'),
    [(replication, 'AppendRequest'), (links, 'PeerGreeting')],
)
def test_leader_goes_on_once_it_has_memory(
    module: Any,
    name: str,
    make_cluster: MakeCluster,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a control instance that ends, as it has no memory for a
    message to another one.
    """
    memory = _Memory(getattr(module, name), _REFUSED)
    monkeypatch.setattr(module, name, memory.call)
    cluster = make_cluster(VOTERS)
    cluster.start()
    cluster.advance(10)
    assert cluster.propose(b'entry').is_ok()
    cluster.settle()
    assert [len(each.machine.entries) for each in cluster.live()] == [1, 1, 1]
