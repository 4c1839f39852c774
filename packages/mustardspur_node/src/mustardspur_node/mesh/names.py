"""Names of the headers that a mesh's callers and targets use."""

from typing import Final

from mustardspur_core.record import Record


class HeaderNames(Record):
    """Header names; an adapter to another platform uses its own.

    Parameters
    ----------
    request_id : str
        Identifies a call; targets echo it.
    deadline_ms : str
        Remaining time of the caller in milliseconds.
    expected_target : str
        Identity of the target that the call is addressed to.
    not_run : str
        Present on a target's answer to a call that it did not run.
    origin_service : str
        Service on whose instance the call started.
    retry_after : str
        Seconds, possibly with a fraction, after which to retry.
    rate_limit : str
        On an answer of a target: calls a second that it accepts from all
        nodes together, for as long as its answers state it.
    leaving : str
        On an answer of a target: ``1`` if it shuts down.
    authorization : str
        Key of a client account, from callers; it is not sent to targets.
    account : str
        Name of the client account, to targets.
    cold_ms : str
        On an answer to a health check: milliseconds for which the target is
        still cold.
    """

    __slots__ = (
        'request_id',
        'deadline_ms',
        'expected_target',
        'not_run',
        'origin_service',
        'retry_after',
        'rate_limit',
        'leaving',
        'authorization',
        'account',
        'cold_ms',
    )
    request_id: str
    deadline_ms: str
    expected_target: str
    not_run: str
    origin_service: str
    retry_after: str
    rate_limit: str
    leaving: str
    authorization: str
    account: str
    cold_ms: str


HEADER_NAMES: Final = HeaderNames(
    request_id='x-request-id',
    deadline_ms='x-mustardspur-deadline-ms',
    expected_target='x-mustardspur-target',
    not_run='x-mustardspur-refused',
    origin_service='x-mustardspur-origin',
    retry_after='retry-after',
    rate_limit='x-mustardspur-rate-limit',
    leaving='x-mustardspur-leaving',
    authorization='authorization',
    account='x-mustardspur-account',
    cold_ms='x-mustardspur-cold-ms',
)

# Headers that apply to a single connection and are not forwarded.
HOP_BY_HOP: Final = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
        'content-length',
    ),
)
