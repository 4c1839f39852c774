"""Reading and validation of profile files."""

from pathlib import Path
from typing import Any

from expression import Error, Result
from mustardspur_core.conversion import encode_mapping
from mustardspur_core.findings import Finding, Findings
from mustardspur_core.profile import Profile, parse_profile
from mustardspur_core.strict_json import parse_json

from mustardspur_client.exit_codes import ExitCode
from mustardspur_client.verb_errors import VerbError


def read_document(path: Path) -> Result[Any, Findings]:
    """Return the document of a JSON file, or the findings."""
    try:
        encoded = path.read_bytes()
    except OSError as error:
        finding = Finding(
            source=str(path),
            path='$',
            expected='a readable file',
            found=str(error),
        )
        return Error(Findings(entries=[finding]))
    return parse_json(encoded, str(path))


def check_file(path: Path) -> Result[Profile, Findings]:
    """Return the profile of a file, or all findings."""
    return read_document(path).bind(
        lambda document: parse_profile(document, str(path)),
    )


def checked_document(path: Path) -> dict[str, Any]:
    """Return the document of a valid profile file.

    Raises
    ------
    VerbError
        If the file has findings; the error has all of them.
    """
    checked = check_file(path)
    if checked.is_error():
        findings = [encode_mapping(entry) for entry in checked.error.entries]
        raise VerbError(ExitCode.FINDINGS, f'{path} has findings', findings)
    document: dict[str, Any] = read_document(path).ok
    return document
