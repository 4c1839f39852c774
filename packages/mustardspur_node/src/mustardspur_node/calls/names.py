"""Names of the headers that the node reads or sets."""

from typing import Final

from multidict import istr

SERVICE: Final = istr('x-mustardspur-service')
DEADLINE_MS: Final = istr('x-mustardspur-deadline-ms')
RETRY_BUDGET: Final = istr('x-mustardspur-retry-budget')
OUTCOME: Final = istr('x-mustardspur-outcome')
REFUSED: Final = istr('x-mustardspur-refused')
CALLER: Final = istr('x-mustardspur-caller')
RESEND: Final = istr('x-mustardspur-resend')
IDEMPOTENCY_KEY: Final = istr('idempotency-key')
REQUEST_ID: Final = istr('x-request-id')

CONNECTION: Final = istr('connection')
CONTENT_LENGTH: Final = istr('content-length')
EXPECT: Final = istr('expect')
HOST: Final = istr('host')
TRANSFER_ENCODING: Final = istr('transfer-encoding')
HOP_BY_HOP: Final = (
    CONNECTION,
    istr('keep-alive'),
    istr('proxy-connection'),
    istr('proxy-authenticate'),
    istr('proxy-authorization'),
    istr('te'),
    istr('trailer'),
    TRANSFER_ENCODING,
    istr('upgrade'),
)
