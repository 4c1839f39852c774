"""Counts of the calls of accounts by their rate limits."""

from collections.abc import Mapping
from typing import Final

from mustardspur_core.mesh.model import ClientAccount
from mustardspur_core.metrics import Metrics

from mustardspur_node.mesh.limit_allowance import LimitAllowance

# Accounts with counts of their own, by rate; the others are counted as one.
MAX_ACCOUNTS: Final = 50
_OTHERS: Final = 'others'
_KINDS: Final = ('asked', 'admitted', 'over_limit')


class AllowanceMetrics:
    """Sends the counts of the largest accounts and those of all others.

    Parameters
    ----------
    metrics : Metrics
        Receives the counts.
    """

    __slots__ = ('_accounts', '_labels', '_metrics', '_sent')

    def __init__(self, metrics: Metrics) -> None:
        """Initialise without counts."""
        self._metrics = metrics
        self._accounts: Mapping[str, ClientAccount] = {}
        self._labels: dict[str, str] = {}
        # Counts that were sent, by account.
        self._sent: dict[str, tuple[int, int, int]] = {}

    def send(
        self,
        allowances: Mapping[str, LimitAllowance],
        accounts: Mapping[str, ClientAccount],
    ) -> None:
        """Send what was counted since the latest call."""
        if accounts is not self._accounts:
            self._accounts = accounts
            self._labels = _labels(accounts)
        for name, allowance in allowances.items():
            counts = (allowance.asked, allowance.admitted, allowance.refused)
            sent = self._sent.get(name, (0, 0, 0))
            if counts != sent:
                self._sent[name] = counts
                self._count(name, counts, sent)
        for removed in self._sent.keys() - accounts.keys():
            self._sent.pop(removed)

    def _count(
        self,
        name: str,
        counts: tuple[int, int, int],
        sent: tuple[int, int, int],
    ) -> None:
        label = self._labels.get(name, _OTHERS)
        for kind, count, before in zip(_KINDS, counts, sent, strict=True):
            self._metrics.incr(f'accounts.{label}.{kind}', count - before)


def _labels(accounts: Mapping[str, ClientAccount]) -> dict[str, str]:
    """Return the names in metrics of the accounts with the highest rates."""
    limited = [each for each in accounts.values() if each.rate_per_s]
    limited.sort(key=lambda account: (-account.rate_per_s, account.name))
    return {each.name: _label(each.name) for each in limited[:MAX_ACCOUNTS]}


def _label(name: str) -> str:
    return ''.join(each if each.isalnum() else '_' for each in name)
