"""Tests of the ports that the processes of a mesh get."""

import secrets

import pytest

from tests.platform.mesh_processes import reserved_ports


def test_ports_of_two_meshes_differ(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against test runs beside each other whose processes listen on
    the same addresses: one of two then ends at its start.
    """
    with reserved_ports() as ports:
        drawn = iter([*ports, *range(ports[0] + 1, ports[0] + 100)])
        monkeypatch.setattr(secrets, 'choice', lambda _: next(drawn))
        with reserved_ports() as others:
            assert not set(ports) & set(others)
