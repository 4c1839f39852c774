"""JSON schema validation that reports all findings with their paths."""

import json
from importlib import resources
from typing import Any, Final

from jsonschema import Draft202012Validator
from jsonschema.exceptions import ValidationError

from mustardspur_core.findings import Finding

MAX_EXPECTED_CHARS: Final = 200
MAX_FOUND_CHARS: Final = 120


def load_schema(package: str, name: str) -> Draft202012Validator:
    """Return a validator for a schema file in a package.

    Parameters
    ----------
    package : str
        Dotted name of the package.
    name : str
        Name of the schema file.
    """
    text = resources.files(package).joinpath(name).read_text('utf-8')
    schema: dict[str, Any] = json.loads(text)
    return Draft202012Validator(schema)


def schema_findings(
    validator: Draft202012Validator,
    document: object,
    file_name: str,
) -> list[Finding]:
    """Validate a document and return all findings, sorted by path."""
    errors = sorted(
        validator.iter_errors(document),
        key=lambda error: str(error.json_path),
    )
    return [_finding(error, file_name) for error in errors]


def _finding(error: ValidationError, file_name: str) -> Finding:
    expected = f'{error.validator} {json.dumps(error.validator_value)}'
    found = json.dumps(error.instance)
    return Finding(
        source=file_name,
        path=error.json_path,
        expected=expected[:MAX_EXPECTED_CHARS],
        found=found[:MAX_FOUND_CHARS],
    )
