"""Encoding and compression of routing tables, and deltas between them."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, ClassVar, TypeVar

import msgpack

from mustardspur_core.compression import compress_bytes, decompress_bytes
from mustardspur_core.conversion import decode_array, encode_array
from mustardspur_core.mesh.model import (
    CallerLimits,
    ClientAccount,
    MeshRoute,
    RoutingTable,
    ServiceRule,
)
from mustardspur_core.record import Defaults, Record

EncodedByName = dict[str, Any]
_RecordT = TypeVar('_RecordT', bound=Record)


class EncodedTable(Record):
    """A table with encoded routes, services and accounts by name.

    This is the form in which tables are stored, sent and compared.
    """

    __slots__ = (
        'number',
        'routes',
        'services',
        'limits',
        'accounts',
        'closed_without_accounts',
    )
    optional: ClassVar[Defaults] = MappingProxyType(
        {'accounts': dict, 'closed_without_accounts': bool},
    )
    number: int
    routes: EncodedByName
    services: EncodedByName
    limits: list[Any]
    accounts: EncodedByName
    closed_without_accounts: bool


class TableDelta(Record):
    """Changes from a base table to a newer one.

    Parameters
    ----------
    base_index : int
        Log index of the base table, 0 for an empty one.
    index : int
        Log index of the resulting table.
    routes : dict
        New and changed routes, encoded.
    removed : list of str
        Names of the removed routes.
    services : dict
        All services of the resulting table, encoded.
    limits : list
        Limits of the resulting table, encoded.
    accounts : dict
        New and changed accounts, encoded.
    removed_accounts : list of str
        Names of the removed accounts.
    closed_without_accounts : bool
        As in the resulting table.
    """

    __slots__ = (
        'base_index',
        'index',
        'number',
        'routes',
        'removed',
        'services',
        'limits',
        'accounts',
        'removed_accounts',
        'closed_without_accounts',
    )
    optional: ClassVar[Defaults] = MappingProxyType(
        {
            'accounts': dict,
            'removed_accounts': list,
            'closed_without_accounts': bool,
        },
    )
    base_index: int
    index: int
    number: int
    routes: EncodedByName
    removed: list[str]
    services: EncodedByName
    limits: list[Any]
    accounts: EncodedByName
    removed_accounts: list[str]
    closed_without_accounts: bool


def encode_table(table: RoutingTable) -> EncodedTable:
    """Return the encoded form of a table."""
    return EncodedTable(
        number=table.number,
        routes=encode_array(table.routes),
        services=encode_array(table.services),
        limits=encode_array(table.limits),
        accounts=encode_array(table.accounts),
        closed_without_accounts=table.closed_without_accounts,
    )


def encode_packed(table: EncodedTable) -> bytes:
    """Return an encoded table as msgpack."""
    packed: bytes = msgpack.packb(encode_array(table))
    return packed


def pack_table(table: EncodedTable) -> bytes:
    """Return an encoded table as compressed msgpack."""
    return compress_bytes(encode_packed(table))


def unpack_table(packed: bytes) -> EncodedTable:
    """Return the encoded table that `pack_table` packed."""
    return decode_array(EncodedTable, msgpack.unpackb(decompress_bytes(packed)))


def table_delta(
    base: EncodedTable | None,
    base_index: int,
    table: EncodedTable,
    index: int,
) -> TableDelta:
    """Return the delta from a base table, or from none, to a table."""
    old = base.routes if base else {}
    old_accounts = base.accounts if base else {}
    return TableDelta(
        base_index=base_index if base else 0,
        index=index,
        number=table.number,
        routes=_changed(old, table.routes),
        removed=[name for name in old if name not in table.routes],
        services=table.services,
        limits=table.limits,
        accounts=_changed(old_accounts, table.accounts),
        removed_accounts=[
            name for name in old_accounts if name not in table.accounts
        ],
        closed_without_accounts=table.closed_without_accounts,
    )


def pack_delta(delta: TableDelta) -> bytes:
    """Return a delta as compressed msgpack."""
    packed: bytes = msgpack.packb(encode_array(delta))
    return compress_bytes(packed)


def unpack_delta(packed: bytes) -> TableDelta:
    """Return the delta that `pack_delta` packed.

    Raises
    ------
    ValueError
        If the bytes are no packed delta.
    """
    return decode_array(
        TableDelta,
        msgpack.unpackb(decompress_bytes(packed)),
    )


def apply_delta(
    table: RoutingTable | None,
    delta: TableDelta,
) -> RoutingTable:
    """Return the table that results from a delta.

    Raises
    ------
    DecodeError
        If a route, service or limit cannot be decoded.
    """
    base = table if delta.base_index else None
    routes = _without(base.routes if base else {}, delta.removed)
    routes.update(_decoded(MeshRoute, delta.routes))
    accounts = _without(
        base.accounts if base else {},
        delta.removed_accounts,
    )
    accounts.update(_decoded(ClientAccount, delta.accounts))
    return RoutingTable(
        number=delta.number,
        routes=routes,
        services=_decoded(ServiceRule, delta.services),
        limits=decode_array(CallerLimits, delta.limits),
        accounts=accounts,
        closed_without_accounts=delta.closed_without_accounts,
    )


def _changed(old: EncodedByName, new: EncodedByName) -> EncodedByName:
    return {
        name: encoded
        for name, encoded in new.items()
        if old.get(name) != encoded
    }


def _without(
    by_name: Mapping[str, _RecordT],
    removed: list[str],
) -> dict[str, _RecordT]:
    names = set(removed)
    return {
        name: record for name, record in by_name.items() if name not in names
    }


def _decoded(
    record_type: type[_RecordT],
    by_name: EncodedByName,
) -> dict[str, _RecordT]:
    return {
        name: decode_array(record_type, encoded)
        for name, encoded in by_name.items()
    }
