"""Call classes of a profile, prepared for the path of a call."""

from mustardspur_core.profile.model import CallClass, Profile


class LimitedClass:
    """A call class of a profile, prepared for the path of a call."""

    __slots__ = ('leaves_reserve', 'limit', 'name', 'priority', 'queue_limit')

    def __init__(
        self,
        name: str,
        call_class: CallClass,
        *,
        leaves_reserve: bool,
    ) -> None:
        """Take the limits over from the profile."""
        self.name = name
        self.priority = call_class.priority
        self.limit = call_class.max_in_flight_per_target
        self.queue_limit = call_class.queue_limit
        self.leaves_reserve = leaves_reserve


def limited_classes(profile: Profile) -> dict[str, LimitedClass]:
    """Return a profile's classes by name."""
    classes = profile.call_classes
    first = min(one.priority for one in classes.values())
    return {
        name: LimitedClass(
            name,
            call_class,
            leaves_reserve=call_class.priority > first,
        )
        for name, call_class in classes.items()
    }
