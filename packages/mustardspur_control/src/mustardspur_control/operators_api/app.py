"""Web application of the operators' interface."""

import logging
from http import HTTPStatus

from aiohttp import web
from aiohttp.typedefs import Handler

from mustardspur_control.operators_api import edits, reads, voters
from mustardspur_control.operators_api.ports import OperatorsContext
from mustardspur_control.operators_api.routing import CONTEXT, operations

# Importing these modules registers their operations.
OPERATION_MODULES = (edits, reads, voters)

_log = logging.getLogger(__name__)


def build_operators_app(context: OperatorsContext) -> web.Application:
    """Return the web application of the operators' interface.

    Parameters
    ----------
    context : OperatorsContext
        Log, store and sources that the handlers use.
    """
    app = web.Application(middlewares=[_json_errors])
    app[CONTEXT] = context
    app.add_routes(operations())
    return app


@web.middleware
async def _json_errors(
    request: web.Request,
    handler: Handler,
) -> web.StreamResponse:
    try:
        return await handler(request)
    except web.HTTPException as error:
        return _error_response(error.status, error.text or error.reason)
    except Exception:
        _log.exception('operator request failed: %s', request.path)
        return _error_response(
            HTTPStatus.INTERNAL_SERVER_ERROR,
            'the control instance failed; see its log',
        )


def _error_response(status: int, reason: str) -> web.Response:
    return web.json_response({'reason': reason}, status=status)
