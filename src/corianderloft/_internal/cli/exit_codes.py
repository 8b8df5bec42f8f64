"""Exit codes of the command line."""

import enum


class ExitCode(enum.IntEnum):
    """How a command ended.

    Attributes
    ----------
    OK
        Done, or nothing to do.
    FAILED
        The command ran and what it checks or measures is not right.
    USAGE
        Wrong command, argument or option.
    INVALID_INPUT
        A settings file, declaration or answer has mistakes.
    CHANGES_PENDING
        ``plan`` found differences.
    CONFLICT
        Another operator was first; nothing was written.
    UNAVAILABLE
        A host or the key-value service does not answer.
    REFUSED
        The system refused the request.
    NOT_FOUND
        What was asked for does not exist.
    OUTCOME_UNKNOWN
        The reply was lost; the change may have been accepted.
    INTERRUPTED
        Stopped from the keyboard.
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
