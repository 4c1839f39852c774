"""Reads bodies of edits and validates them against JSON schemas."""

from typing import Any, Final

from aiohttp import web
from expression import Error, Ok, Result
from jsonschema import Draft202012Validator
from mustardspur_core import http_bodies
from mustardspur_core.findings import Findings
from mustardspur_core.schemas import load_schema, schema_findings
from mustardspur_core.strict_json import parse_json
from mustardspur_core.units import BYTES_PER_KIB

# A profile of 200 routes, the most that the schema allows, takes 60 KiB.
MAX_BODY_KIB: Final = 256
MAX_BODY_BYTES: Final = MAX_BODY_KIB * BYTES_PER_KIB
SOURCE: Final = 'request'


def load_body_schema(name: str) -> Draft202012Validator:
    """Return the validator of a body from the name of its schema file."""
    return load_schema('mustardspur_control.operators_api', name)


async def read_body(
    request: web.Request,
    validator: Draft202012Validator,
) -> Result[dict[str, Any], Findings]:
    """Read the body of an edit and validate it against its schema.

    Raises
    ------
    web.HTTPException
        If the body has more than ``MAX_BODY_BYTES`` bytes, is encoded, or
        late.
    """
    parsed = parse_json(
        await http_bodies.read_body(request, MAX_BODY_BYTES),
        SOURCE,
    )
    if parsed.is_error():
        return parsed
    entries = schema_findings(validator, parsed.ok, SOURCE)
    if entries:
        return Error(Findings(entries=entries))
    return Ok(parsed.ok)
