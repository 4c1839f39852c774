"""Random and damaged bodies at the platform's decoders."""

import json
from contextlib import suppress
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from mustardspur_platform.fields import BadField
from mustardspur_platform.heartbeats import decode_heartbeat
from mustardspur_platform.routing_table import decode_table

from tests.platform.samples import configuration, report

_EXAMPLES = 150
_SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=20)
    | st.sampled_from([10**400, -1, 'r99', '9e999s', 'ms', '-1ms', ''])
)
_ANYTHING = st.recursive(
    _SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)


def _paths(document: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the paths of all values in a document."""
    children: list[Any] = []
    if isinstance(document, dict):
        children = list(document.items())
    if isinstance(document, list):
        children = list(enumerate(document))
    found = [path] if path else []
    for key, child in children:
        found.extend(_paths(child, (*path, key)))
    return found


def _damaged(document: Any, path: tuple[Any, ...], value: Any) -> bytes:
    inner = document
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = value
    return json.dumps(document).encode()


@settings(max_examples=_EXAMPLES, deadline=None, derandomize=True)
@given(path=st.sampled_from(_paths(configuration())), value=_ANYTHING)
def test_damaged_configuration(path: tuple[Any, ...], value: Any) -> None:
    """Guards against an exception other than BadField for any value of any
    field, which would end the order without a clear refusal.
    """
    with suppress(BadField):
        decode_table(_damaged(configuration(), path, value))


@settings(max_examples=_EXAMPLES, deadline=None, derandomize=True)
@given(path=st.sampled_from(_paths(report())), value=_ANYTHING)
def test_damaged_heartbeat(path: tuple[Any, ...], value: Any) -> None:
    """Guards against an exception other than BadField for a heartbeat."""
    with suppress(BadField):
        decode_heartbeat('i-1', _damaged(report(), path, value))


@settings(max_examples=_EXAMPLES, deadline=None, derandomize=True)
@given(content=st.binary(max_size=200))
def test_random_bytes(content: bytes) -> None:
    """Guards against an exception other than BadField for random bytes."""
    with suppress(BadField):
        decode_table(content)
    with suppress(BadField):
        decode_heartbeat('i-1', content)


def test_deeply_nested_body() -> None:
    """Guards against a recursion error that ends the request."""
    nested = b'['.ljust(100_000, b'[')
    with suppress(BadField):
        decode_table(nested)
