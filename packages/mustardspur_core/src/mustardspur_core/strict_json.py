"""A JSON parser that rejects ambiguous documents."""

import json
from collections import Counter
from typing import Any, Final, NoReturn

from expression import Error, Ok, Result

from mustardspur_core.findings import Finding, Findings

# Errors may list keys of the document.
MAX_FOUND_CHARS: Final = 500
_ESCAPE: Final = r'\u'.encode()


def parse_json(encoded: bytes, source: str) -> Result[Any, Findings]:
    """Decode a JSON document strictly.

    Explanation
    ===========

    Besides invalid JSON, this rejects duplicate keys in an object, the
    constants ``NaN`` and ``Infinity``, and text that cannot be encoded in
    UTF-8. Each of them would change or fail on the way to a node.

    Parameters
    ----------
    encoded : bytes
        The document in UTF-8.
    source : str
        Name of the source in the findings.

    Returns
    -------
    Result
        The decoded document, or a finding.
    """
    try:
        return Ok(_decode(encoded))
    except (ValueError, RecursionError) as error:
        finding = Finding(
            source=source,
            path='$',
            expected='JSON',
            found=str(error)[:MAX_FOUND_CHARS],
        )
        return Error(Findings(entries=[finding]))


def _decode(encoded: bytes) -> Any:
    document = json.loads(
        encoded.decode('utf-8'),
        object_pairs_hook=_reject_duplicate_keys,
        parse_constant=_reject_constant,
    )
    if _ESCAPE in encoded:
        # Raises for a lone surrogate, which only an escape can express.
        json.dumps(document, ensure_ascii=False).encode('utf-8')
    return document


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    mapping = dict(pairs)
    if len(mapping) != len(pairs):
        counts = Counter(name for name, _ in pairs)
        duplicates = sorted(name for name in counts if counts[name] > 1)
        raise ValueError(f'keys that occur twice: {duplicates}')
    return mapping


def _reject_constant(name: str) -> NoReturn:
    raise ValueError(f'{name} is not a number')
