"""Types of trio's task start-up."""

import typing

T_contra = typing.TypeVar('T_contra', contravariant=True)


class TaskStatus(typing.Protocol[T_contra]):
    """How a task tells ``nursery.start`` that it is ready."""

    def started(self, value: T_contra) -> None:
        """Report ``value`` to the starter."""
