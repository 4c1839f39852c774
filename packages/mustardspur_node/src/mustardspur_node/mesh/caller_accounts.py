"""Client accounts of callers, identified by the keys that they present."""

from http import HTTPStatus
from typing import Final

from multidict import MultiMapping
from mustardspur_core.mesh.accounts import key_digest
from mustardspur_core.mesh.model import ClientAccount, MeshRoute

from mustardspur_node.mesh.calls import Headers, UnansweredCall
from mustardspur_node.mesh.decisions import DecisionLog
from mustardspur_node.mesh.names import HeaderNames
from mustardspur_node.mesh.view import RouteIndex

# The priority of an account goes before that of the route; routes use three.
ROUTE_PRIORITIES: Final = 3
# Characters of a digest that are logged.
_LOGGED_DIGEST: Final = 8
_SCHEME: Final = 'bearer'


class CallerAccounts:
    """Identifies the accounts of calls by the digests of their keys.

    Explanation
    ===========

    The accounts are looked up for each call in the table in force, so that a
    withdrawn key ends with the next table, also on open connections. A table
    that requires no keys leaves calls and their headers unchanged.

    Parameters
    ----------
    names : HeaderNames
        Names of the headers.
    decisions : DecisionLog
        Receives the refusals.
    """

    __slots__ = (
        '_by_digest',
        '_decisions',
        '_enabled',
        '_indexed',
        '_key_header',
        '_names',
        '_removed',
    )

    def __init__(self, names: HeaderNames, decisions: DecisionLog) -> None:
        """Initialise without a table."""
        self._names = names
        self._decisions = decisions
        self._key_header = names.authorization.lower()
        self._removed = frozenset(
            (_comparable(names.authorization), _comparable(names.account)),
        )
        self._indexed: RouteIndex | None = None
        self._by_digest: dict[str, ClientAccount] = {}
        self._enabled = False

    def identify(
        self,
        routes: RouteIndex | None,
        route: MeshRoute,
        headers: MultiMapping[str],
    ) -> ClientAccount | None:
        """Return the account of a call, None for a call without one.

        Raises
        ------
        UnansweredCall
            With status 401 if the route is not public and no known key is
            presented.
        """
        if routes is not None and routes is not self._indexed:
            self._index(routes)
        if not self._enabled:
            return None
        digest = self._presented_digest(headers)
        account = self._by_digest.get(digest)
        if account is None and not route.public:
            self._decisions.write(
                'key refused',
                route=route.name,
                digest=digest[:_LOGGED_DIGEST],
                request=headers.get(self._names.request_id),
            )
            raise UnansweredCall(HTTPStatus.UNAUTHORIZED, 'no known key', 0)
        return account

    def replace_headers(
        self,
        account: ClientAccount | None,
        headers: Headers,
    ) -> Headers:
        """Return the headers for the target: no key, the account's name.

        The table is the one of the latest `identify`.
        """
        if not self._enabled:
            return headers
        replaced = [
            header
            for header in headers
            if _comparable(header[0]) not in self._removed
        ]
        if account is not None:
            replaced.append([self._names.account, account.name])
        return replaced

    def _presented_digest(self, headers: MultiMapping[str]) -> str:
        """Return the digest of the key, empty without a single valid one.

        Several keys are not accepted, since it would be unclear which of them
        counts.
        """
        stated = headers.getall(self._key_header, ())
        if len(stated) != 1:
            return ''
        scheme, _, key = stated[0].strip().partition(' ')
        if scheme.lower() != _SCHEME:
            return ''
        return key_digest(key.strip())

    def _index(self, routes: RouteIndex) -> None:
        """Index the accounts of a table by digest."""
        accounts = routes.table.accounts
        self._by_digest = {
            digest: account
            for account in accounts.values()
            for digest in account.key_digests
        }
        # The removal of the last key or account does not open the routes.
        self._enabled = routes.table.requires_keys
        self._indexed = routes


def account_rank(account: ClientAccount | None, route_rank: int) -> int:
    """Return the rank of a call from that of its route.

    A call without an account, and one whose account states no priority, ranks
    as one of an account of the highest priority: most calls without an
    account are made by targets within calls whose work they would lose.
    """
    priority = account.priority if account else None
    return (priority or 0) * ROUTE_PRIORITIES + route_rank


def _comparable(name: str) -> str:
    """Return a header name in the form in which names are compared.

    Some servers do not distinguish ``_`` and ``-`` in header names, so that a
    caller could state an account under a variant of the name.
    """
    return name.lower().replace('_', '-')
