"""Progress messages on standard error."""

import sys

from corianderloft._internal import load


def print_progress(progress: load.Progress) -> None:
    """Print the progress of a load run."""
    in_flight = progress.sent - progress.ended
    print_line(
        f'{progress.elapsed:4.0f} s: {progress.sent} of {progress.scheduled}'
        f' sent, {in_flight} in flight'
    )


def print_line(text: str) -> None:
    """Print one line to standard error."""
    print(text, file=sys.stderr, flush=True)
