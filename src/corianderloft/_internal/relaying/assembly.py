"""Decides what may be added to a response that has begun, and what ends it.

The response to a caller may be put together from several runs: a server is
lost in the middle of a stream, and another one goes on after the last event.
"""

import dataclasses
import enum

from corianderloft._internal.relaying import event_ids


class RunEnd(enum.Enum):
    """What shows that a run is complete.

    FRAMING
        Its length was reached, or its last chunk came.
    CONNECTION
        Its connection ended, and the server that sent it outlived it.
    WITH_SERVER
        Its connection ended, and its server may have ended with it. That
        shows nothing: the operating system closes the connections of a
        process that ends, at any point of a response.
    """

    FRAMING = 'framing'
    CONNECTION = 'connection'
    WITH_SERVER = 'with_server'


@dataclasses.dataclass(frozen=True)
class Rejected:
    """What came may not be passed on.

    Attributes
    ----------
    cause : str
        Cause, for the log.
    """

    cause: str


@dataclasses.dataclass(frozen=True)
class RunHead:
    """Head of a run.

    Attributes
    ----------
    status : int
        HTTP status code.
    signed : bool
        Whether it bears the signature of its server.
    content_type : str
        Type of the content without parameters; empty if not stated.
    """

    status: int
    signed: bool
    content_type: str = ''


class Assembly:
    """One response to a caller.

    Parameters
    ----------
    asked_after : int or None
        ID of the last event that the caller had before it asked.
    resumable : bool
        Whether another run may go on after an event of this response, so
        that the IDs of its events tell positions in the stream.
    greatest_step : int or None
        Greatest difference between two IDs in recent streams; 1 if unknown.

    Attributes
    ----------
    begun : bool
        Whether anything was passed on.
    complete : bool
        Whether the response has ended; nothing may follow.
    last_id : int or None
        ID after which a run has to go on.
    run_has_content : bool
        Whether an event of the present run was passed on.
    step : int or None
        Greatest difference between two IDs within one run so far.
    """

    def __init__(
        self,
        asked_after: int | None = None,
        resumable: bool = False,
        greatest_step: int | None = None,
    ) -> None:
        self._resumable = resumable
        self._greatest_step = greatest_step
        self._head: RunHead | None = None
        self.run_has_content = False
        self._run_is_placed = False
        self._content_after_last_id = False
        self._may_end_here = asked_after is not None
        self.begun = False
        self.complete = False
        self.last_id = asked_after
        self.step: int | None = None

    @property
    def may_go_on(self) -> bool:
        """Whether another run may follow what was passed on."""
        if self.complete:
            return False
        if not self.begun:
            return True
        return self._resumable and not self._content_after_last_id

    def check_whole(self) -> Rejected | None:
        """Return why a response that is no stream may not be delivered."""
        if self.begun:
            return Rejected('it is no continuation of a stream')
        return None

    def begin_run(self, head: RunHead) -> Rejected | None:
        """Return why events of a run with this head may not be added."""
        if not head.signed:
            return Rejected('a stream without signature')
        if self.begun:
            assert self._head is not None
            if not self.may_go_on:
                return Rejected('nothing may follow what was passed on')
            if head.status != self._head.status:
                return Rejected(
                    f'status {head.status} after {self._head.status}'
                )
            types = {head.content_type, self._head.content_type} - {''}
            if len(types) > 1:
                return Rejected(f'another content type: {head.content_type!r}')
        else:
            self._head = head
        self.run_has_content = False
        self._run_is_placed = self.last_id is None
        return None

    def add(self, events: bytes, has_content: bool) -> Rejected | None:
        """Add complete events; return why they may not be passed on.

        All or none of them are added.

        Parameters
        ----------
        events : bytes
            The events.
        has_content : bool
            Whether they are more than comments.
        """
        if self.complete:
            return Rejected('events after the end')
        if has_content and self._resumable:
            rejected = self._add_ids(events)
            if rejected is not None:
                return rejected
        elif has_content:
            self.run_has_content = True
        self.begun = True
        return None

    def end_run(self, end: RunEnd, remainder: bytes) -> Rejected | None:
        """End the response; return why it is incomplete, if it is.

        Parameters
        ----------
        end : RunEnd
            What shows that the run is complete.
        remainder : bytes
            What came after its last complete event.
        """
        if remainder.strip():
            return Rejected('the stream ended inside an event')
        if not self.run_has_content:
            if end is not RunEnd.FRAMING:
                return Rejected('the connection ended before any event')
            if self.last_id is not None and not self._may_end_here:
                return Rejected(
                    f'no event after {self.last_id}, where the run before '
                    'was broken off'
                )
        if end is RunEnd.WITH_SERVER:
            self._may_end_here = True
            return Rejected('the server ended together with its response')
        self.begun = True
        self.complete = True
        return None

    def _add_ids(self, events: bytes) -> Rejected | None:
        last_id, placed = self.last_id, self._run_is_placed
        step, unnumbered = self.step, self._content_after_last_id
        has_content = self.run_has_content
        try:
            for event_id in event_ids.read(events):
                has_content = True
                if event_id is None:
                    if not placed:
                        return Rejected('an event without an ID')
                    unnumbered = True
                    continue
                if last_id is not None:
                    if event_id <= last_id:
                        return Rejected(f'event {event_id} after {last_id}')
                    if placed:
                        step = max(step or 0, event_id - last_id)
                    elif self._leaves_a_gap(event_id - last_id):
                        return Rejected(
                            f'event {event_id} after {last_id}: some are '
                            'missing'
                        )
                last_id, placed, unnumbered = event_id, True, False
        except event_ids.NoNumber as exc:
            if not self._run_is_placed:
                return Rejected(str(exc))
            has_content = unnumbered = True
        self.last_id, self._run_is_placed = last_id, placed
        self.run_has_content = has_content
        self._may_end_here = self._may_end_here and not has_content
        self.step, self._content_after_last_id = step, unnumbered
        return None

    def _leaves_a_gap(self, step: int) -> bool:
        return step > max(self.step or 1, self._greatest_step or 1)
