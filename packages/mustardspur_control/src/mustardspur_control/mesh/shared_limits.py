"""Limits of a table that the control instances share."""

from typing import Final

from mustardspur_core.conversion import decode_array
from mustardspur_core.mesh.model import ClientAccount
from mustardspur_core.mesh.packing import unpack_table
from mustardspur_core.mesh.retry_limits import (
    GRANTED_BURST_PART,
    GRANTED_MS,
    GRANTED_RATE_PART,
    retry_limit,
)
from mustardspur_core.record import Record
from mustardspur_core.settings import MeshSettings

from mustardspur_control.mesh.limit_broker import VALID_MS

# The other half of the slack is for nodes that fall back on their own share.
BUCKET_SLACK: Final = 0.5


class SharedLimit(Record):
    """A limit over all control instances.

    Parameters
    ----------
    rate_per_s : float
        Tokens a second.
    burst, slack : float
        Tokens that all buckets together hold.
    valid_ms : float
        Time for which granted tokens can be used.
    may_relax : bool
        Whether nodes may use a few tokens before they are granted.
    """

    __slots__ = ('rate_per_s', 'burst', 'slack', 'valid_ms', 'may_relax')
    rate_per_s: float
    burst: float
    slack: float
    valid_ms: float
    may_relax: bool


def shared_limits(packed: bytes, mesh: MeshSettings) -> dict[str, SharedLimit]:
    """Return the limits of a packed table by name.

    A table with accounts limits the retries of each service as well.
    """
    table = unpack_table(packed)
    limits = {}
    for encoded in table.accounts.values():
        account = decode_array(ClientAccount, encoded)
        if account.rate_per_s:
            limits[f'account/{account.name}'] = SharedLimit(
                rate_per_s=account.rate_per_s,
                burst=account.burst,
                slack=BUCKET_SLACK * mesh.limit_slack,
                valid_ms=VALID_MS,
                may_relax=True,
            )
    if table.accounts and mesh.retry_slack:
        for service in table.services:
            limits[retry_limit(service)] = _retry_limit(mesh)
    return limits


def _retry_limit(mesh: MeshSettings) -> SharedLimit:
    return SharedLimit(
        rate_per_s=GRANTED_RATE_PART * mesh.retry_slack / mesh.retry_window_s,
        burst=GRANTED_BURST_PART * mesh.retry_slack,
        slack=0,
        valid_ms=GRANTED_MS,
        may_relax=False,
    )
