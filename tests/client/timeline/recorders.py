"""Recorders of time line files with clocks that are minutes apart."""

import json
from pathlib import Path
from typing import Any

START_S = 1_800_000_000.0
BOOTED_S = START_S - 1000


class Recorder:
    """Writes the time line of one process.

    Parameters
    ----------
    folder : Path
        Folder of the file.
    process : str
        Identifier of the process.
    ahead_s : float
        Seconds by which its wall clock is ahead of the true time.
    booted_s : float
        True time at which its monotonic clock was zero.
    """

    __slots__ = ('ahead_s', 'booted_s', 'path', 'process', 'sequence')

    def __init__(
        self,
        folder: Path,
        process: str,
        ahead_s: float = 0,
        booted_s: float = BOOTED_S,
    ) -> None:
        """Initialise with an empty file."""
        self.process = process
        self.ahead_s = ahead_s
        self.booted_s = booted_s
        self.sequence = 0
        self.path = folder / f'{process}.jsonl'
        self.path.write_text('', 'utf-8')

    def record(self, elapsed_s: float, event: str, **details: Any) -> None:
        """Append an event at a true time in seconds after the start."""
        self.sequence += 1
        at_s = START_S + elapsed_s
        row = {
            'wall_s': at_s + self.ahead_s,
            'monotonic_s': at_s - self.booted_s,
            'sequence': self.sequence,
            'process': self.process,
            'data_centre': 'split-a',
            'event': event,
        }
        self.append(json.dumps(row | details))

    def append(self, line: str) -> None:
        """Append a line unchanged."""
        with self.path.open('a', encoding='utf-8') as output:
            output.write(f'{line}\n')


class Mesh:
    """A leader and a follower, each with one connected node.

    Parameters
    ----------
    folder : Path
        Folder of the files.
    ahead_s : list of float
        Seconds by which the four wall clocks are ahead.
    """

    __slots__ = ('control', 'nodes', 'now_s')

    def __init__(self, folder: Path, ahead_s: list[float]) -> None:
        """Initialise with connected nodes."""
        recorders = [
            Recorder(folder, process, ahead, START_S - 10_000 * ahead - 1e6)
            for process, ahead in zip(
                ('c1', 'c2', 'n1', 'n2'),
                ahead_s,
                strict=True,
            )
        ]
        self.control = recorders[:2]
        self.nodes = recorders[2:]
        self.now_s = float(0)
        for control, node in zip(self.control, self.nodes, strict=True):
            control.record(0, 'node_connected', node=node.process)

    @property
    def recorders(self) -> list[Recorder]:
        """All four recorders."""
        return [*self.control, *self.nodes]

    @property
    def paths(self) -> list[Path]:
        """All four files."""
        return [recorder.path for recorder in self.recorders]

    def edit(self, index: int, delays_s: list[float]) -> None:
        """Commit an index and put it in force on both nodes.

        The delays are those of the commit, of the message to the follower, of
        the message to a node and of the report of a node.
        """
        commit_s, relay_s, *node_delays = delays_s
        leader, follower = self.control
        accepted_s = self.now_s + commit_s
        leader.record(self.now_s, 'entry_proposed', entry=f'e{index}')
        leader.record(accepted_s, 'config_accepted', **_config(index))
        leader.record(
            accepted_s,
            'entry_committed',
            entry=f'e{index}',
            index=index,
        )
        relayed_s = accepted_s + relay_s
        follower.record(relayed_s, 'config_accepted', **_config(index))
        self.now_s = 1 + max(
            self._serve(0, accepted_s, index, node_delays),
            self._serve(1, relayed_s, index, node_delays),
        )

    def _serve(
        self,
        position: int,
        start_s: float,
        index: int,
        delays_s: list[float],
    ) -> float:
        control, node = self.control[position], self.nodes[position]
        in_force_s = start_s + delays_s[0]
        reported_s = in_force_s + delays_s[1]
        node.record(in_force_s, 'config_in_force', **_config(index))
        control.record(
            reported_s,
            'applied',
            node=node.process,
            **_config(index),
        )
        return reported_s


def _config(index: int) -> dict[str, Any]:
    return {'service': 'stamps', 'index': index}
