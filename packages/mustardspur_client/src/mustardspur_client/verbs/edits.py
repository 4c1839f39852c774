"""Arguments and results that all edits share."""

import getpass
import os
import uuid
from argparse import ArgumentParser
from typing import Any, Final

from mustardspur_client.invocation import Invocation

OPERATOR_VARIABLE: Final = 'MUSTARDSPUR_OPERATOR'


def add_edit_arguments(parser: ArgumentParser) -> None:
    """Add who edits and the edit's identifier."""
    parser.add_argument(
        '--operator',
        default=os.environ.get(OPERATOR_VARIABLE) or getpass.getuser(),
        help=f'who edits; {OPERATOR_VARIABLE} or the login name by default',
    )
    parser.add_argument(
        '--edit-id',
        default=uuid.uuid4().hex,
        help='identifier of an earlier attempt, to get its answer',
    )


def show_accepted(
    invocation: Invocation,
    accepted: dict[str, Any],
    subject: str,
) -> None:
    """Show the index of an edit and what it changed."""
    output = invocation.output
    if output.as_json:
        output.write_json(accepted)
        return
    index = accepted['index']
    output.line(f'accepted at index {index}: {subject}')
    for change in accepted['changes']:
        output.line(f'  {change}')
