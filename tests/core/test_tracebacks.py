"""Guards against exceptions that keep what was received."""

import pytest
from mustardspur_core.tracebacks import release_frames


def _raised(error: ValueError) -> ValueError:
    """Return an exception after it was raised."""
    with pytest.raises(ValueError, match=str(error)) as caught:
        raise error
    return caught.value  # noqa: WPS441


def test_frames_of_the_whole_chain_are_released() -> None:
    """Guards against a cause or context that keeps its frames."""
    cause = _raised(ValueError('cause'))
    error = _raised(ValueError('effect'))
    error.__cause__ = cause
    assert cause.__traceback__ is not None
    release_frames(error)
    assert error.__traceback__ is None
    assert cause.__traceback__ is None
    assert error.__cause__ is cause


def test_chain_that_ends_in_itself() -> None:
    """Guards against a walk without end."""
    first = _raised(ValueError('first'))
    second = _raised(ValueError('second'))
    first.__cause__ = second
    second.__context__ = first
    release_frames(first)
    assert second.__traceback__ is None
