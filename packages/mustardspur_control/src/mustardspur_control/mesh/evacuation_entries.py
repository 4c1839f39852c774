"""Application of the log entries that evacuate and readmit data centres."""

from typing import Final

from mustardspur_core.mesh.entries import (
    EvacuateDataCentre,
    MeshAnswer,
    ReadmitDataCentre,
)

from mustardspur_control.mesh.store import (
    ACCEPTED,
    CONFLICT,
    MeshState,
    answer,
    register_applier,
)

EVACUATION_ENTRY_TYPES: Final = (EvacuateDataCentre, ReadmitDataCentre)


@register_applier(EvacuateDataCentre)
def apply_evacuation(
    state: MeshState,
    entry: EvacuateDataCentre,
) -> MeshAnswer:
    """Evacuate a data centre unless no other one would be left.

    The condition is checked here and not only at the order, since orders for
    two data centres can be proposed at the same time. A repeated order is
    accepted without effect.
    """
    evacuated = {*state.evacuated, entry.data_centre}
    if len(evacuated) == len(state.evacuated):
        return answer(state, ACCEPTED)
    if evacuated.issuperset(entry.known):
        return answer(state, CONFLICT)
    state.evacuated = sorted(evacuated)
    return answer(state, ACCEPTED)


@register_applier(ReadmitDataCentre)
def apply_readmission(
    state: MeshState,
    entry: ReadmitDataCentre,
) -> MeshAnswer:
    """End the evacuation of a data centre; no effect on others."""
    state.evacuated = [
        name for name in state.evacuated if name != entry.data_centre
    ]
    return answer(state, ACCEPTED)
