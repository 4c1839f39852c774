"""Encoding and compression of routing tables, and deltas between them."""

from typing import Any

import msgpack

from mustardspur_core.compression import compress_bytes, decompress_bytes
from mustardspur_core.conversion import decode_array, encode_array
from mustardspur_core.mesh.model import (
    CallerLimits,
    MeshRoute,
    RoutingTable,
    ServiceRule,
)
from mustardspur_core.record import Record

EncodedByName = dict[str, Any]


class EncodedTable(Record):
    """A table with encoded routes and services by name.

    This is the form in which tables are stored, sent and compared.
    """

    __slots__ = ('number', 'routes', 'services', 'limits')
    number: int
    routes: EncodedByName
    services: EncodedByName
    limits: list[Any]


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
    """

    __slots__ = (
        'base_index',
        'index',
        'number',
        'routes',
        'removed',
        'services',
        'limits',
    )
    base_index: int
    index: int
    number: int
    routes: EncodedByName
    removed: list[str]
    services: EncodedByName
    limits: list[Any]


def encode_table(table: RoutingTable) -> EncodedTable:
    """Return the encoded form of a table."""
    return EncodedTable(
        number=table.number,
        routes=encode_array(table.routes),
        services=encode_array(table.services),
        limits=encode_array(table.limits),
    )


def encode_packed(table: EncodedTable) -> bytes:
    """Return an encoded table as msgpack."""
    packed: bytes = msgpack.packb(
        [table.number, table.routes, table.services, table.limits],
    )
    return packed


def pack_table(table: EncodedTable) -> bytes:
    """Return an encoded table as compressed msgpack."""
    return compress_bytes(encode_packed(table))


def unpack_table(packed: bytes) -> EncodedTable:
    """Return the encoded table that `pack_table` packed."""
    number, routes, services, limits = msgpack.unpackb(decompress_bytes(packed))
    return EncodedTable(
        number=number,
        routes=routes,
        services=services,
        limits=limits,
    )


def table_delta(
    base: EncodedTable | None,
    base_index: int,
    table: EncodedTable,
    index: int,
) -> TableDelta:
    """Return the delta from a base table, or from none, to a table."""
    old = base.routes if base else {}
    return TableDelta(
        base_index=base_index if base else 0,
        index=index,
        number=table.number,
        routes={
            name: route
            for name, route in table.routes.items()
            if old.get(name) != route
        },
        removed=[name for name in old if name not in table.routes],
        services=table.services,
        limits=table.limits,
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
    base_routes = table.routes if table and delta.base_index else {}
    removed = set(delta.removed)
    routes = {
        name: route
        for name, route in base_routes.items()
        if name not in removed
    }
    changed = {
        name: decode_array(MeshRoute, route)
        for name, route in delta.routes.items()
    }
    routes.update(changed)
    return RoutingTable(
        number=delta.number,
        routes=routes,
        services={
            name: decode_array(ServiceRule, service)
            for name, service in delta.services.items()
        },
        limits=decode_array(CallerLimits, delta.limits),
    )
