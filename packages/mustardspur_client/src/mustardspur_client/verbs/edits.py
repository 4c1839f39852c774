"""Arguments and output common to all edits."""

import getpass
import os
import uuid
from argparse import ArgumentParser
from typing import Any, Final

from mustardspur_client.invocation import Invocation

OPERATOR_VARIABLE: Final = 'MUSTARDSPUR_OPERATOR'


def add_edit_arguments(parser: ArgumentParser) -> None:
    """Add the options for the operator and the edit identifier."""
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
    """Show the index and the changes of an accepted edit."""
    output = invocation.output
    if output.as_json:
        output.write_json(accepted)
        return
    index = accepted['index']
    output.line(f'accepted at index {index}: {subject}')
    for change in accepted['changes']:
        output.line(f'  {change}')
