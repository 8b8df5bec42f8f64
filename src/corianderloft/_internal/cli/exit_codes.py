"""Exit codes of the command line."""

import enum


class ExitCode(enum.IntEnum):
    """Exit code of a command.

    Attributes
    ----------
    OK
        Success, including when there was nothing to do.
    FAILED
        The command ran, but what it checks or measures is not as expected.
    USAGE
        Unknown command, or wrong argument or option.
    INVALID_INPUT
        A settings file, declaration or other input is invalid.
    CHANGES_PENDING
        ``plan`` found differences.
    CONFLICT
        Another operator changed the configuration first; nothing was
        written.
    UNAVAILABLE
        A host or the key-value service did not respond.
    REFUSED
        The system rejected the request.
    NOT_FOUND
        The requested item does not exist.
    OUTCOME_UNKNOWN
        No reply to a write arrived; the change may have been accepted.
    INTERRUPTED
        Interrupted from the keyboard.
    """

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID_INPUT = 3
    CHANGES_PENDING = 4
    CONFLICT = 5
    UNAVAILABLE = 6
    REFUSED = 7
    NOT_FOUND = 8
    OUTCOME_UNKNOWN = 9
    INTERRUPTED = 130
