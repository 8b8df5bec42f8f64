"""Requests of commands to the operators' port of a host."""

import typing

from corianderloft._internal.cli import http_client
from corianderloft._internal.cli import output
from corianderloft._internal.cli import tables


def call(
    method: str, host: str, path: str, subject: str, body: typing.Any = None
) -> output.Outcome:
    """Send a request to the operators' port and return its response.

    Parameters
    ----------
    method, path : str
        HTTP method and path.
    host : str
        ``IP:PORT`` of the operators' port.
    subject : str
        What is requested, for error messages.
    body : object, optional
        Sent as JSON.
    """
    response = http_client.call(method, str(host), path, body)
    if isinstance(response, output.Failure):
        return response
    failure = http_client.error_failure(response, subject)
    if failure is not None:
        return failure
    return output.Result(
        response.body, tuple(tables.build_tables(response.body))
    )
