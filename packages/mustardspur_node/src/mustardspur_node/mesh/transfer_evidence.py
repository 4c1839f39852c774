"""Outcomes of a node's calls by version and route, for running transfers."""

from mustardspur_core.mesh.control_messages import RouteOutcomeCounts

# Service, version and route.
Key = tuple[str, str, str]


class TransferEvidence:
    """Counts of runs since the start of the transfer of each service.

    Attributes
    ----------
    changed : bool
        Whether the counts changed since they were last sent.
    """

    __slots__ = ('_rows_by_key', 'changed')

    def __init__(self) -> None:
        """Initialise without counts."""
        self._rows_by_key: dict[Key, RouteOutcomeCounts] = {}
        self.changed = False

    @property
    def rows(self) -> list[RouteOutcomeCounts]:
        """Counts of all services, versions and routes."""
        return list(self._rows_by_key.values())

    def record(
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
            Run time in milliseconds.
        failed : bool
            Whether the run failed at the target.
        timed : bool
            Whether the run time is counted; times of failed runs and of cold
            targets do not represent the version.
        """
        row = self._rows_by_key.get(key)
        if row is None:
            row = RouteOutcomeCounts(
                service=key[0],
                version=key[1],
                route=key[2],
                runs=0,
                failed=0,
                timed=0,
                timed_ms=0,
            )
            self._rows_by_key[key] = row
        row.runs += 1
        row.failed += failed
        if timed:
            row.timed += 1
            row.timed_ms += run_ms
        self.changed = True

    def reset(self, service: str) -> None:
        """Remove the counts of a service."""
        for key in list(self._rows_by_key):
            if key[0] == service:
                self._rows_by_key.pop(key)
        self.changed = True
