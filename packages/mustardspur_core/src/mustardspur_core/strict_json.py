"""JSON documents without the ambiguities that the standard parser allows."""

import json
from typing import Any, NoReturn

from expression import Error, Ok, Result

from mustardspur_core.findings import Finding, Findings


def parse_json(encoded: bytes, source: str) -> Result[Any, Findings]:
    """Decode a JSON document strictly.

    Explanation
    ===========

    Besides what is no JSON at all, this refuses keys that occur twice in an
    object, the constants ``NaN`` and ``Infinity``, and text that UTF-8
    cannot hold; each of them would change or fail on the way to a node.

    Parameters
    ----------
    encoded : bytes
        The document in UTF-8.
    source : str
        Name for the findings.
    """
    try:
        return Ok(_decoded(encoded))
    except (ValueError, RecursionError) as error:
        finding = Finding(
            source=source,
            path='$',
            expected='JSON',
            found=str(error),
        )
        return Error(Findings(entries=[finding]))


def _decoded(encoded: bytes) -> Any:
    document = json.loads(
        encoded.decode('utf-8'),
        object_pairs_hook=_unique,
        parse_constant=_refuse_constant,
    )
    # Fails for half of a surrogate pair, which JSON can escape.
    json.dumps(document, ensure_ascii=False).encode('utf-8')
    return document


def _unique(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    mapping = dict(pairs)
    if len(mapping) != len(pairs):
        names = [name for name, _ in pairs]
        twice = sorted({name for name in names if names.count(name) > 1})
        raise ValueError(f'keys that occur twice: {twice}')
    return mapping


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(f'{name} is not a number')
