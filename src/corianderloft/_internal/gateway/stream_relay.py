"""Relays one run of a stream to the caller."""

import collections.abc

from corianderloft._internal.entry import sse
from corianderloft._internal.gateway import life_watch
from corianderloft._internal.gateway import response_ends
from corianderloft._internal.gateway import response_writer
from corianderloft._internal.gateway import sending
from corianderloft._internal.gateway import silence
from corianderloft._internal.placement import grants
from corianderloft._internal.placement import interface
from corianderloft._internal.relaying import assembly


class StreamRelay:
    """Adds a run to the response to a caller, as far as it may be added.

    Parameters
    ----------
    response : Assembly
        What was passed on so far.
    writer : ResponseWriter
        Writes to the caller.
    record_step : callable
        Called with a distance between the IDs of two events.
    """

    def __init__(
        self,
        response: assembly.Assembly,
        writer: response_writer.ResponseWriter,
        record_step: collections.abc.Callable[[int], None],
    ) -> None:
        self._response = response
        self._writer = writer
        self._record_step = record_step

    async def run(
        self,
        attempt: sending.SendAttempt,
        received: sending.ReceivedHead,
        grant: grants.Grant,
        watch: silence.SilenceWatch | None,
        life: life_watch.LifeWatch | None,
    ) -> sending.SendFailure | None:
        """Relay complete events only; return None if the response is whole.

        The end of the response itself is left to the caller of this.
        """
        # The number of events tells the length of the output only if the run
        # has all of them.
        from_beginning = self._response.last_id is None
        rejected = self._response.begin_run(response_ends.run_head(received))
        if rejected is not None:
            return response_ends.rejected_run(rejected)
        event_buffer = sse.EventBuffer()
        while True:
            data = await attempt.read()
            if isinstance(data, sending.SendFailure):
                return data
            if data is None:
                break
            try:
                events = event_buffer.feed(data)
            except ValueError as exc:
                return sending.SendFailure(
                    interface.AttemptOutcome.BROKEN, True, str(exc)
                )
            if not events:
                continue
            # A server that has stalled may still send a byte or a comment
            # now and then.
            is_progress = sse.has_content(events)
            rejected = self._add(events, is_progress)
            if rejected is not None:
                return response_ends.rejected_run(rejected)
            if from_beginning and is_progress:
                grant.events += events.count(sse.EVENT_END)
            if is_progress:
                grant.started()
                if watch is not None:
                    watch.pause()
            await self._writer.send_events(received, events)
            if is_progress and watch is not None:
                watch.restart()
        if watch is not None:
            watch.pause()
        return await self._end(
            attempt, received, event_buffer.incomplete(), life
        )

    def _add(
        self, events: bytes, is_progress: bool
    ) -> assembly.Rejected | None:
        step_before = self._response.step
        rejected = self._response.add(events, is_progress)
        step = self._response.step
        if step is not None and step != step_before:
            self._record_step(step)
        return rejected

    async def _end(
        self,
        attempt: sending.SendAttempt,
        received: sending.ReceivedHead,
        remainder: bytes,
        life: life_watch.LifeWatch | None,
    ) -> sending.SendFailure | None:
        end = assembly.RunEnd.WITH_SERVER
        if self._response.run_has_content and not remainder.strip():
            end = await response_ends.run_end(attempt, life)
        elif not received.ends_with_connection:
            end = assembly.RunEnd.FRAMING
        rejected = self._response.end_run(end, remainder)
        if rejected is not None:
            return response_ends.rejected_run(
                rejected, received.ends_with_connection
            )
        if remainder:
            await self._writer.send_events(received, remainder)
        return None
