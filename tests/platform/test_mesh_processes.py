"""Tests of the ports that the processes of a mesh get."""

import secrets
from pathlib import Path

import pytest

from tests.platform.mesh_processes import reserved_ports
from tests.support.ports import free_address


def test_ports_of_two_meshes_differ(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against test runs beside each other whose processes listen on
    the same addresses: one of two then ends at its start.
    """
    with reserved_ports() as ports:
        drawn = iter([*ports, *range(ports[0] + 1, ports[0] + 100)])
        monkeypatch.setattr(secrets, 'choice', lambda _: next(drawn))
        with reserved_ports() as others:
            assert not set(ports) & set(others)


def test_free_address_stays_free(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an address that another test process takes before the
    process under test listens on it.
    """
    port = int(free_address().rpartition(':')[2])
    assigned = Path('/proc/sys/net/ipv4/ip_local_port_range').read_text()
    assert port < int(assigned.split()[0])
    drawn = iter([port, *range(port + 1, port + 100)])
    monkeypatch.setattr(secrets, 'choice', lambda _: next(drawn))
    with reserved_ports() as others:
        assert port not in others
