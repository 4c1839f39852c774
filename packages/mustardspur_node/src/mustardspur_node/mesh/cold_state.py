"""Whether the local target is cold, and what it accepts while it is."""

import asyncio
import logging
import math
from collections import deque
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final

from mustardspur_core.mesh.model import ServiceRule
from mustardspur_core.texts import parse_number, show
from mustardspur_core.units import MS_PER_S

from mustardspur_node.mesh.decisions import DecisionLog
from mustardspur_node.mesh.rate_limit import BURST_S, CallSpacing

_LOG: Final = logging.getLogger(__name__)

# A cold target never gets more than this multiple of its rate, plus
# `BOUND_CALLS`, in any `WINDOW_S`.
BOUND_FACTOR: Final = 1.5
BOUND_CALLS: Final = 8
WINDOW_S: Final = 1.0
# Calls by which the node stays below the bound. Calls are counted at their
# admission; those that are confirmed by the caller's node are sent a round
# trip later, so a window at the target can hold a few more.
RESERVED_CALLS: Final = 2
# Longer cold times are cut to a day. A time beyond 64 bits cannot be announced,
# which ended the stream to the control instance each time.
MAX_COLD_MS: Final = 86_400_000
# Part of the calls that may be sent without a statement of the target after
# which its status is queried. The rest covers the calls that arrive until the
# answer, 75 ms at 80 calls a second.
QUERY_PART: Final = 2 / 3
# Changes of the end of the cold time that are not logged; reports state it in
# whole milliseconds and arrive with different delays.
LOGGED_CHANGE_S: Final = 0.2
_NO_RULES: Final[Mapping[str, ServiceRule]] = MappingProxyType({})


def _ignore() -> None:
    """Do nothing; default of the callbacks."""


class SentCalls:
    """Times of the calls that were sent within the last `WINDOW_S`."""

    __slots__ = ('_times_s',)

    def __init__(self) -> None:
        """Initialise without calls."""
        self._times_s: deque[float] = deque()

    def __len__(self) -> int:
        """Return the number of calls within the window."""
        self._prune(_now() - WINDOW_S)
        return len(self._times_s)

    def record(self) -> None:
        """Count a call that is sent now."""
        self._times_s.append(_now())
        self._prune(_now() - WINDOW_S)

    def forget_until(self, time_s: float) -> None:
        """Remove the calls that were sent up to a time."""
        self._prune(time_s)

    def delay_s(self, limit: int) -> float:
        """Return the time until fewer calls than a limit are in the window."""
        if len(self) < limit:
            return 0
        return self._times_s[-limit] + WINDOW_S - _now()

    def spacing(self, per_s: float) -> CallSpacing:
        """Return the spacing at a rate that the calls would have left.

        At most the burst is used up by them; `delay_s` covers the rest.
        """
        spacing = CallSpacing(per_s)
        for time_s in self._times_s:
            spacing.record_call(time_s)
        spacing.use_up_to_at_most(_now() + BURST_S)
        return spacing

    def _prune(self, until_s: float) -> None:
        times_s = self._times_s
        while times_s and times_s[0] <= until_s:
            times_s.popleft()


class ColdState:
    """Cold time of the local target, and the bound on its calls.

    Explanation
    ===========

    Reports and health answers of the target state for how long it is cold;
    each replaces what was known. After a suspicious event, such as a refused
    connection, the target counts as cold until it states otherwise.

    While the target is cold, calls are spaced by the rate that its service
    states, and the calls of the last second count. A warm target can turn
    cold without a sign. Calls that were sent after its last statement are
    therefore bounded as well: a query of the status is requested when their
    number approaches the bound, and calls wait at the bound.

    Attributes
    ----------
    per_s : float
        Calls a second that the cold target accepts, 0 without a bound.
    rule_of : callable
        Returns the rule of a service, None without one.
    on_change : callable
        Called when calls may be admitted earlier or later than before.
    on_turned_cold : callable
        Called when a warm target with a bound states that it is cold.
    on_query_wanted : callable
        Called when a query of the target's status is needed.
    """

    __slots__ = (
        '_decisions',
        '_sent',
        '_spacing',
        '_start_ms',
        '_stated_s',
        '_stated_until_s',
        '_suspected',
        '_unverified',
        '_until_s',
        'on_change',
        'on_query_wanted',
        'on_turned_cold',
        'per_s',
        'rule_of',
    )

    def __init__(self) -> None:
        """Initialise a warm target without a bound."""
        self._decisions = DecisionLog(_LOG)
        self._sent = SentCalls()
        self._unverified = SentCalls()
        self._spacing = CallSpacing(0)
        self._start_ms: float = 0
        self._stated_s: float = 0
        # Stated end of the cold time; suspicions do not change it.
        self._stated_until_s: float = 0
        # Whether the target has stated nothing since a suspicious event.
        self._suspected = False
        self._until_s: float = 0
        self.per_s: float = 0
        self.rule_of: Callable[[str], ServiceRule | None] = _NO_RULES.get
        self.on_change: Callable[[], None] = _ignore
        self.on_query_wanted: Callable[[], None] = _ignore
        self.on_turned_cold: Callable[[], None] = _ignore

    @property
    def is_cold(self) -> bool:
        """Whether the target is cold."""
        return _now() < self._until_s

    @property
    def is_limiting(self) -> bool:
        """Whether the target is cold and its service has a bound."""
        return bool(self.per_s) and self.is_cold

    @property
    def remaining_ms(self) -> float:
        """Time for which the target is still cold."""
        return max(self._until_s - _now(), 0) * MS_PER_S

    @property
    def needs_query(self) -> bool:
        """Whether only a query can show that the target accepts more calls."""
        if not self.per_s:
            return False
        if self.is_cold:
            return self._suspected
        limit = self._unverified_limit * QUERY_PART
        return len(self._unverified) >= limit

    @property
    def delay_s(self) -> float:
        """Time until the next call may be sent, 0 if it may be sent now."""
        if not self.per_s:
            return 0
        if not self.is_cold:
            return self._unverified.delay_s(self._unverified_limit)
        delay_s = max(
            self._spacing.delay_s,
            self._sent.delay_s(math.floor(self.per_s * (1 + BURST_S)) + 1),
        )
        return min(delay_s, self._until_s - _now())

    def apply_rule(self, service: str) -> None:
        """Apply the rule of the target's service in the table in force."""
        rule = self.rule_of(service)
        per_s = rule.cold_per_s if rule else 0
        self._start_ms = rule.cold_ms if rule else 0
        if per_s == self.per_s:
            return
        self.per_s = per_s
        self._spacing = self._sent.spacing(per_s)
        self.on_change()

    def record_statement(
        self,
        remaining_ms: float,
        sent_s: float,
        source: str,
    ) -> None:
        """Apply the cold time that the target states.

        An answer to a request that was sent before the last statement can
        be older than it, so it may only extend the cold time.

        Parameters
        ----------
        remaining_ms : float
            Time in milliseconds for which the target is cold from now on.
        sent_s : float
            Time on the event loop's clock at which the answered request was
            sent; the time of receipt for a report.
        source : str
            Kind of the message, for the log.
        """
        until_s = _now() + min(remaining_ms, MAX_COLD_MS) / MS_PER_S
        if sent_s < self._stated_s and until_s < self._until_s:
            return
        self.verify(sent_s)
        self._suspected = False
        self._stated_s = _now()
        stated_warm = self._stated_until_s <= _now()
        turned_cold = stated_warm and remaining_ms > 0
        self._stated_until_s = until_s
        self._change(until_s, source)
        if turned_cold and self.per_s:
            self.on_turned_cold()

    def verify(self, sent_s: float) -> None:
        """Record that the target was reached by a request at a time.

        Calls before it no longer count as sent without a statement.
        """
        self._unverified.forget_until(sent_s)
        self.on_change()

    def suspect(self, reason: str) -> None:
        """Treat the target as just started, until it states otherwise.

        Explanation
        ===========

        Used when its connection was refused or reset, or ended before an
        answer, since it may have restarted. Nothing changes without a bound.
        """
        if not self.per_s:
            return
        self._suspected = True
        self._stated_s = _now()
        until_s = _now() + self._start_ms / MS_PER_S
        self._change(max(until_s, self._until_s), reason)
        self.on_query_wanted()

    def record_call(self) -> None:
        """Count a call that is sent now."""
        if not self.per_s:
            return
        self._sent.record()
        self._unverified.record()
        if self.is_cold:
            self._spacing.record_call(_now())
        if self.needs_query:
            self.on_query_wanted()

    def wait_s(self, ahead: int) -> float:
        """Return how long a call waits behind a number of others.

        The wait for a query's answer is some milliseconds and is left out.
        """
        if not self.is_limiting:
            return 0
        wait_s = self.delay_s + ahead * self._spacing.interval_s
        return min(wait_s, self._until_s - _now())

    @property
    def _unverified_limit(self) -> int:
        bound = math.floor(self.per_s * BOUND_FACTOR) + BOUND_CALLS
        return bound - RESERVED_CALLS

    def _change(self, until_s: float, source: str) -> None:
        if self.per_s and not self.is_cold:
            self._spacing = self._sent.spacing(self.per_s)
        before_ms = self.remaining_ms
        previous_s = max(self._until_s, _now())
        self._until_s = until_s
        if self.per_s and abs(until_s - previous_s) > LOGGED_CHANGE_S:
            self._decisions.write(
                'cold time of the target changed',
                cold_ms=round(self.remaining_ms),
                before_ms=round(before_ms),
                source=source,
                limit_per_s=self.per_s,
                calls_of_last_s=len(self._sent),
            )
        self.on_change()


def parse_cold_ms(text: str) -> float:
    """Return the cold time of a header value in milliseconds.

    Raises
    ------
    ValueError
        If the value is not a finite number of at least 0.
    """
    cold_ms = parse_number(text)
    if not math.isfinite(cold_ms) or cold_ms < 0:
        raise ValueError(f'expected a time of at least 0, found {show(text)}')
    return cold_ms


def _now() -> float:
    return asyncio.get_running_loop().time()
