"""Call classes compiled from a profile."""

from mustardspur_core.profile.model import CallClass, Profile


class CompiledCallClass:
    """Limits of a call class.

    Parameters
    ----------
    name : str
        Name of the class.
    call_class : CallClass
        Class in the profile.
    leaves_reserve : bool
        Whether calls of this class leave the reserve of a target and of the
        node free for the first priority.
    """

    __slots__ = ('leaves_reserve', 'limit', 'name', 'priority', 'queue_limit')

    def __init__(
        self,
        name: str,
        call_class: CallClass,
        *,
        leaves_reserve: bool,
    ) -> None:
        """Initialise the limits from the profile."""
        self.name = name
        self.priority = call_class.priority
        self.limit = call_class.max_in_flight_per_target
        self.queue_limit = call_class.queue_limit
        self.leaves_reserve = leaves_reserve


def compile_call_classes(profile: Profile) -> dict[str, CompiledCallClass]:
    """Return the call classes of a profile by name."""
    classes = profile.call_classes
    first = min(one.priority for one in classes.values())
    return {
        name: CompiledCallClass(
            name,
            call_class,
            leaves_reserve=call_class.priority > first,
        )
        for name, call_class in classes.items()
    }
