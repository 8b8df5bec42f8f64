"""Calls of commands on the operators' port of a host."""

import typing

from corianderloft._internal.cli import http_client
from corianderloft._internal.cli import output
from corianderloft._internal.cli import tables


def show(
    method: str, host: str, path: str, what: str, body: typing.Any = None
) -> output.Outcome:
    """Call the operators' port and show its answer.

    Parameters
    ----------
    method, path : str
        What is called.
    host : str
        ``IP:PORT`` of the operators' port.
    what : str
        Names the call in messages.
    body : object, optional
        Sent as JSON.
    """
    answer = http_client.call(method, str(host), path, body)
    if isinstance(answer, output.Failure):
        return answer
    wrong = http_client.refused(answer, what)
    if wrong is not None:
        return wrong
    return output.Result(answer.body, tuple(tables.tables_of(answer.body)))
