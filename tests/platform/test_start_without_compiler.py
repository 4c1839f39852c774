"""Tests of processes whose start command leads to the plain interpreter."""

from pathlib import Path

import pytest
from mustardspur_daemon.interpreter import build_interpreter

from tests.platform.mesh_processes import Launcher, running_mesh

_HOST = '127.0.7.21'


class _StandInLauncher(Launcher):
    """Starts processes by a program that was built without a compiler."""

    def command(self, host: str, role: str) -> list[str]:
        """Return the deployed command with the other program."""
        _, *arguments = super().command(host, role)
        return [str(self.folder / 'mustardspur-python'), *arguments]


@pytest.mark.parametrize('role', ['node', 'control'])
async def test_processes_start_without_a_compiler(
    role: str,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a machine without a compiler on which the system does
    not start.
    """
    with monkeypatch.context() as context:
        context.setenv('PATH', str(tmp_path))
        built = build_interpreter(tmp_path / 'mustardspur-python')
    assert not built.ignores_sighup
    async with running_mesh(tmp_path) as mesh:
        mesh.launcher = _StandInLauncher(tmp_path)
        if role == 'node':
            await mesh.start_node(_HOST)
        else:
            await mesh.start_control(_HOST, first_start=True)
        await mesh.until_logged(_HOST, '"started"')
        assert await mesh.stop(_HOST) == 0
