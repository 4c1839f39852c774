"""Numbers of profiles as this operator last read them."""

import contextlib
import json
import os
from pathlib import Path
from typing import Any

from mustardspur_core.record import Record


class LastNumbers(Record):
    """File with the numbers by mesh and profile.

    Parameters
    ----------
    path : Path
        The JSON file; its folder is made when needed.
    mesh : str
        Which mesh the numbers belong to.
    """

    __slots__ = ('path', 'mesh')
    path: Path
    mesh: str

    def get(self, profile: str) -> int | None:
        """Return the number that was last read, None before any read."""
        number = self._load().get(self.mesh, {}).get(profile)
        return number if isinstance(number, int) else None

    def put(self, profile: str, number: int) -> None:
        """Remember a number; the file is replaced in one step."""
        numbers_by_mesh = self._load()
        numbers_by_mesh.setdefault(self.mesh, {})[profile] = number
        self.path.parent.mkdir(parents=True, exist_ok=True)
        draft = self.path.with_suffix(f'.{os.getpid()}')
        draft.write_text(json.dumps(numbers_by_mesh), 'utf-8')
        draft.replace(self.path)

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
