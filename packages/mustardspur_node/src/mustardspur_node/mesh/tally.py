"""Counts of a node's calls by version and route, for running transfers."""

from mustardspur_core.mesh.control_messages import OutcomeCounts

Key = tuple[str, str, str]


class Tally:
    """Outcomes since the start of the transfer of each service."""

    __slots__ = ('_rows', 'changed')

    def __init__(self) -> None:
        """Start without counts."""
        self._rows: dict[Key, OutcomeCounts] = {}
        self.changed = False

    @property
    def rows(self) -> list[OutcomeCounts]:
        """All counts."""
        return list(self._rows.values())

    def note(
        self,
        key: Key,
        run_ms: float,
        *,
        failed: bool,
        timed: bool,
    ) -> None:
        """Count a run.

        Parameters
        ----------
        key : tuple of str
            Service, version and route.
        run_ms : float
            Time of the run.
        failed : bool
            Whether the target failed it.
        timed : bool
            Whether the time says something of the version; it does not while
            the target is cold.
        """
        row = self._rows.get(key)
        if row is None:
            row = OutcomeCounts(
                service=key[0],
                version=key[1],
                route=key[2],
                runs=0,
                failed=0,
                timed=0,
                timed_ms=0,
            )
            self._rows[key] = row
        row.runs += 1
        row.failed += failed
        if timed:
            row.timed += 1
            row.timed_ms += run_ms
        self.changed = True

    def reset(self, service: str) -> None:
        """Start the counts of a service anew."""
        for key in list(self._rows):
            if key[0] == service:
                self._rows.pop(key)
        self.changed = True
