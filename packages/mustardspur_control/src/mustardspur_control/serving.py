"""Server of a control instance for operators."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

from mustardspur_core.http_serving import serving_app
from mustardspur_core.settings import Settings

from mustardspur_control.operators_api import (
    OperatorsContext,
    build_operators_app,
)

# Edits that are being committed are waited for.
_SHUTDOWN_S: Final = 60.0


@asynccontextmanager
async def serving_operators(
    settings: Settings,
    context: OperatorsContext,
) -> AsyncIterator[None]:
    """Serve operators on the HTTP address."""
    app = build_operators_app(context)
    async with serving_app(app, settings.listen.http, _SHUTDOWN_S):
        yield
