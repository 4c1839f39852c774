"""Profile numbers that this operator last read."""

import contextlib
import json
import os
from pathlib import Path
from typing import Any

from mustardspur_core.record import Record


class LastNumbers(Record):
    """File with the last read numbers by mesh and profile.

    Parameters
    ----------
    path : Path
        JSON file; its folder is created when needed.
    mesh : str
        Key of the mesh, the sorted addresses of its control instances.
    """

    __slots__ = ('path', 'mesh')
    path: Path
    mesh: str

    def get(self, profile: str) -> int | None:
        """Return the last read number of a profile, None if there is none."""
        number = self._load().get(self.mesh, {}).get(profile)
        return number if isinstance(number, int) else None

    def put(self, profile: str, number: int) -> None:
        """Store the number of a profile; the file is replaced atomically."""
        numbers_by_mesh = self._load()
        numbers_by_mesh.setdefault(self.mesh, {})[profile] = number
        self.path.parent.mkdir(parents=True, exist_ok=True)
        temporary = self.path.with_suffix(f'.{os.getpid()}')
        temporary.write_text(json.dumps(numbers_by_mesh), 'utf-8')
        temporary.replace(self.path)

    def _load(self) -> dict[str, Any]:
        with contextlib.suppress(OSError, ValueError):
            loaded = json.loads(self.path.read_text('utf-8'))
            if isinstance(loaded, dict):
                return loaded
        return {}


def last_numbers(state_dir: Path, addresses: list[str]) -> LastNumbers:
    """Return the numbers of the mesh that has these control instances."""
    return LastNumbers(
        path=state_dir / 'numbers.json',
        mesh=','.join(sorted(addresses)),
    )
