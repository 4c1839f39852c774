"""Parsing and validation of profile documents."""

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
    """Validate a profile document and convert it to a profile.

    Parameters
    ----------
    document : object
        Decoded JSON.
    file_name : str
        Name of the source in the findings.
    now_s : float, optional
        Wall clock in seconds, to reject deadlines in the past; defaults to
        the current time.

    Returns
    -------
    Result
        The profile, or all findings of the schema; if the schema finds
        nothing, all findings of `check_profile`.
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
