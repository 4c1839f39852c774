"""Sources of an earlier commit, to measure beside those of the workspace."""

import os
import subprocess
import tarfile
from io import BytesIO
from pathlib import Path
from typing import Final

REPOSITORY: Final = Path(__file__).parents[2]


def earlier_sources(commit: str, folder: Path) -> Path:
    """Extract the packages of a commit into a folder, and return it."""
    archive = subprocess.run(
        ('git', 'archive', commit, 'packages'),
        cwd=REPOSITORY,
        check=True,
        capture_output=True,
    )
    with tarfile.open(fileobj=BytesIO(archive.stdout)) as packed:
        packed.extractall(folder, filter='data')
    return folder


def use_sources(folder: Path) -> None:
    """Let processes that are started from now on use the packages there."""
    paths = map(str, sorted(folder.glob('packages/*/src')))
    os.environ['PYTHONPATH'] = os.pathsep.join(paths)
