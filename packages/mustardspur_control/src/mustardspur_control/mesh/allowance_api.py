"""HTTP interface for the limits of accounts at one control instance."""

from typing import Final

from aiohttp import web

from mustardspur_control.mesh.allowances import AllowanceBroker

ALLOWANCES_PATH: Final = '/v1/allowances'


class AllowanceApi:
    """Handler that shows limits, demand and shares.

    Parameters
    ----------
    allowances : AllowanceBroker
        Broker of the instance.
    """

    __slots__ = ('_allowances',)

    def __init__(self, allowances: AllowanceBroker) -> None:
        """Initialise the handler."""
        self._allowances = allowances

    def add_to(self, app: web.Application) -> web.Application:
        """Add the handler to an application and return it."""
        app.router.add_get(ALLOWANCES_PATH, self.show_allowances)
        return app

    async def show_allowances(self, _: web.Request) -> web.Response:
        """Return what this instance knows of each limit."""
        return web.json_response({'limits': self._allowances.describe()})
