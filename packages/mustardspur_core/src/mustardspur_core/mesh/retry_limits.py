"""Parts of the shared retry budget: a ratio of the calls and a fixed number.

All retries of a window are at most `EARNED_PART` of the ratio, and of the
fixed number: the rate and burst of the brokers, their tokens in hand at the
nodes when the window begins, and the credit of the nodes then and of equal
parts. These add up to 0.996 of the fixed number.
"""

from typing import Final

# Part of the ratio that a call earns. The rest covers the edges of a window:
# credit that was saved before it, and retries that wait before they arrive.
EARNED_PART: Final = 0.8
# Granted by the brokers in a window, and beside that from full buckets.
GRANTED_RATE_PART: Final = 0.28
GRANTED_BURST_PART: Final = 0.06
# Time for which granted tokens can be used.
GRANTED_MS: Final = 2000.0
# Divided equally among the nodes, with a control instance or without: what they
# get in a window, and what they may hold before it. A node that makes a call in
# 10 s has no use for granted tokens, which expire before its next call fails.
EQUAL_RATE_PART: Final = 0.2
HELD_PART: Final = 0.4

_PREFIX: Final = 'retry/'


def retry_limit(service: str) -> str:
    """Return the name of the limit on the retries of a service."""
    return f'{_PREFIX}{service}'
