"""A control instance without a network, for orders to lift blocks."""

from typing import Any, Final

from aiohttp import web
from mustardspur_control.mesh.blocks import BlockOperations, follow_lifts
from mustardspur_control.mesh.blocks_api import BlocksApi
from mustardspur_control.mesh.crash_register import (
    CRASHES_TO_BLOCK,
    CrashRegister,
)
from mustardspur_control.mesh.log_access import LogAccess
from mustardspur_core.mesh.control_messages import MeshCrash

from tests.control.mesh.evacuation_orders import OrderedControl

DEADLY: Final = bytes(range(16))


class BlockingControl(OrderedControl):
    """Operations on blocks, on a log that can fail."""

    def __init__(self) -> None:
        """Initialise without crashes."""
        super().__init__()
        self.crashes = CrashRegister()
        follow_lifts(self.store, self.crashes)
        access = LogAccess(self.log)
        self.blocks = BlockOperations(access, self.store, self.crashes)

    @property
    def app(self) -> web.Application:
        """A new application with the handlers for blocks."""
        return BlocksApi(self.blocks).add_to(web.Application())


def record_crashes(register: CrashRegister, **changes: Any) -> None:
    """Record as many crashes by the deadly call as block it.

    Parameters
    ----------
    **changes : int
        ``first``, the number of the first crash, and ``lifted_index``.
    """
    first = changes.get('first', 0)
    for number in range(first, first + CRASHES_TO_BLOCK):
        host = number % 5
        register.record(
            MeshCrash(
                node=f'10.0.0.{host}:9000',
                incarnation=1,
                number=number,
                fingerprints=[DEADLY],
                age_s=0,
                lifted_index=changes.get('lifted_index', 0),
            ),
        )
