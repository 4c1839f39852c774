"""Logs as JSON lines on standard error."""

import logging

from pythonjsonlogger.json import JsonFormatter

from mustardspur_core.settings.model import Settings


def configure_logs(settings: Settings) -> None:
    """Send every log record of the process to standard error as JSON.

    Parameters
    ----------
    settings : Settings
        Settings of the process; the level and the identifiers are used.
    """
    output = logging.StreamHandler()
    output.setFormatter(
        JsonFormatter(
            '%(asctime)s %(levelname)s %(name)s %(message)s',
            rename_fields={'asctime': 'time', 'levelname': 'level'},
            static_fields={
                'process': settings.id,
                'data_centre': settings.data_centre,
            },
        ),
    )
    root = logging.getLogger()
    root.handlers.clear()
    root.addHandler(output)
    root.setLevel(settings.log_level.upper())
