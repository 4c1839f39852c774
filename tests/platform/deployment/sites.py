"""The deployments that are played: places, services, calls and their load."""

from types import MappingProxyType
from typing import Final

from mustardspur_core.record import Record

# Targets that a target calls while it runs a call.
INNER: Final = 'inner'
# Time after which a further target can be at an address that was given up.
REUSE_AFTER_S: Final = 2.0


class Route(Record):
    """One kind of call.

    Parameters
    ----------
    name, service : str
        Name and first part of its path, and the service that runs it.
    is_once : bool
        Whether a call may run at most once.
    per_s, run_s : float
        Calls a second in the whole deployment, and how long one runs.
    deadline_ms : int
        Time that a caller waits.
    """

    __slots__ = ('name', 'service', 'is_once', 'per_s', 'run_s', 'deadline_ms')
    name: str
    service: str
    is_once: bool
    per_s: float
    run_s: float
    deadline_ms: int


class Site(Record):
    """One deployment.

    Parameters
    ----------
    places : tuple of tuple of str
        Data centres with their regions, in the order of the machines.
    services : tuple of str
        Service of the target beside each node.
    calling : str
        Route whose calls make a call of their own on the route `INNER`.
    """

    __slots__ = ('places', 'services', 'routes', 'calling')
    places: tuple[tuple[str, str], ...]
    services: tuple[str, ...]
    routes: tuple[Route, ...]
    calling: str

    def place(self, number: int) -> tuple[str, str]:
        """Return the data centre and the region of a machine."""
        return self.places[number % len(self.places)]


def _route(name: str, service: str, load: str) -> Route:
    once, per_s, run_s, deadline_ms = load.split()
    return Route(
        name=name,
        service=service,
        is_once=once == 'once',
        per_s=float(per_s),
        run_s=float(run_s),
        deadline_ms=int(deadline_ms),
    )


SITES: Final = MappingProxyType(
    {
        'lakeshore-lens': Site(
            places=(
                ('erie-toledo', 'erie'),
                ('mich-milwaukee', 'michigan'),
                ('erie-cleveland', 'erie'),
                ('mich-gary', 'michigan'),
            ),
            services=('intake',) * 8 + ('lens-bench',) * 4,
            routes=(
                _route('lookup', 'intake', 'often 416 0.06 2000'),
                _route('box', 'intake', 'once 227 0.078 2000'),
                _route('record', 'lens-bench', 'once 151 0.042 1500'),
                _route(INNER, 'lens-bench', 'often 0 0.015 200'),
            ),
            calling='lookup',
        ),
        'obrazac-kiosk': Site(
            places=(
                ('split-a', 'dalmacija'),
                ('osijek-a', 'slavonija'),
                ('zadar-a', 'dalmacija'),
                ('vukovar-a', 'slavonija'),
            ),
            services=('drafting',) * 7 + ('paying',) * 4,
            routes=(
                _route('draft', 'drafting', 'often 216 0.12 2500'),
                _route('submit', 'drafting', 'once 78.8 0.16 3000'),
                _route('pay', 'paying', 'once 49.8 0.084 2000'),
                _route(INNER, 'paying', 'often 0 0.03 400'),
            ),
            calling='draft',
        ),
    }
)
