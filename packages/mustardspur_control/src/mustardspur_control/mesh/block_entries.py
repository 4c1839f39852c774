"""Application of the log entries that lift blocks of calls."""

from typing import Final

from mustardspur_core.mesh.entries import LiftBlock, MeshAnswer

from mustardspur_control.mesh.store import (
    ACCEPTED,
    MeshState,
    answer,
    register_applier,
)

BLOCK_ENTRY_TYPES: Final = (LiftBlock,)
# Lifts that are remembered; the oldest ones are dropped. A lift has no effect
# any more once the crashes before it are forgotten, after 600 s.
MAX_LIFTED: Final = 256


@register_applier(LiftBlock)
def apply_lift(state: MeshState, entry: LiftBlock) -> MeshAnswer:
    """Record the log index of the lift as the latest one of the call."""
    fingerprint = entry.fingerprint.hex()
    state.lifted.pop(fingerprint, None)
    state.lifted[fingerprint] = state.index
    if len(state.lifted) > MAX_LIFTED:
        state.lifted.pop(next(iter(state.lifted)))
    return answer(state, ACCEPTED)
