"""Progress of a load run, for people."""

import sys

from corianderloft._internal import load


def show(progress: load.Progress) -> None:
    """Print one line that says how far a run is, to standard error."""
    in_flight = progress.sent - progress.ended
    say(
        f'{progress.elapsed:4.0f} s: {progress.sent} of {progress.scheduled}'
        f' sent, {in_flight} in flight'
    )


def say(text: str) -> None:
    """Print one line to standard error."""
    print(text, file=sys.stderr, flush=True)
