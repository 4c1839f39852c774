"""From a JSON document to a checked profile."""

import time
from typing import Any

from expression import Error, Ok, Result

from mustardspur_core.conversion import decode_mapping
from mustardspur_core.findings import Findings
from mustardspur_core.profile.checks import check_profile
from mustardspur_core.profile.model import Profile
from mustardspur_core.schemas import load_schema, schema_findings

_VALIDATOR = load_schema('mustardspur_core.profile', 'profile.schema.json')
_OPTIONAL_MOVE_FIELDS = ('within_s', 'by')


def parse_profile(
    document: Any,
    file_name: str,
    now_s: float | None = None,
) -> Result[Profile, Findings]:
    """Check a document as a whole and return the profile.

    Parameters
    ----------
    document : object
        Decoded JSON.
    file_name : str
        Name for the findings.
    now_s : float, optional
        Wall clock in seconds, for stated times that have passed; the
        current time if it is left out.

    Returns
    -------
    Result
        The profile, or every finding of the schema; where the shape is
        right, every finding of the profile's own checks.
    """
    entries = schema_findings(_VALIDATOR, document, file_name)
    if entries:
        return Error(Findings(entries=entries))
    move = dict.fromkeys(_OPTIONAL_MOVE_FIELDS) | document['move']
    profile = decode_mapping(Profile, document | {'move': move})
    clock_s = time.time() if now_s is None else now_s
    entries = check_profile(profile, file_name, clock_s)
    if entries:
        return Error(Findings(entries=entries))
    return Ok(profile)
