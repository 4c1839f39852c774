"""Time line of events: one JSON line per event, one file per process."""

import json
import logging
import time
from contextlib import suppress
from pathlib import Path
from typing import IO, Any, Final

from mustardspur_core.units import NS_PER_S

_LOG: Final = logging.getLogger(__name__)


class Timeline:
    """Writer of the events of one process.

    Explanation
    ===========

    Every event contains the wall clock, the monotonic clock for durations
    inside the process, and a sequence number. Events that concern several
    processes also contain identifiers (``index``, ``move``, ``request``), by
    which they can be ordered in spite of clock offsets.

    Parameters
    ----------
    process_id : str
        Identifier of the process.
    data_centre : str
        Data centre of the process.
    path : Path or None
        File to append to; with None events are discarded.
    """

    __slots__ = (
        '_is_refused',
        '_output',
        '_sequence',
        'data_centre',
        'process_id',
    )

    def __init__(
        self,
        process_id: str,
        data_centre: str,
        path: Path | None,
    ) -> None:
        """Initialise the writer and open its file for appending."""
        self.process_id = process_id
        self.data_centre = data_centre
        self._sequence = 0
        self._is_refused = False
        self._output: IO[str] | None = None
        if path is not None:
            path.parent.mkdir(parents=True, exist_ok=True)
            self._output = path.open('a', buffering=1, encoding='utf-8')

    def record(self, event: str, **details: Any) -> None:
        """Append an event.

        Parameters
        ----------
        event : str
            Name of the event, for example ``config_in_force``.
        **details : object
            Fields of the event; the values must be JSON serialisable.
        """
        if self._output is None:
            return
        self._sequence += 1
        fields = {
            'wall_s': time.time_ns() / NS_PER_S,
            'monotonic_s': time.monotonic_ns() / NS_PER_S,
            'sequence': self._sequence,
            'process': self.process_id,
            'data_centre': self.data_centre,
            'event': event,
        }
        try:
            self._output.write(f'{json.dumps(fields | details)}\n')
        except OSError as error:
            self._report_refusal(error)
        else:
            self._is_refused = False

    def close(self) -> None:
        """Close the file."""
        if self._output is not None:
            # Closing writes again what could not be written.
            with suppress(OSError):
                self._output.close()
            self._output = None

    def _report_refusal(self, error: OSError) -> None:
        if not self._is_refused:
            _LOG.warning('timeline not written', extra={'reason': str(error)})
        self._is_refused = True
