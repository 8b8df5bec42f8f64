"""Ports of loopback that stay reserved for one test process."""

import socket

_held: list[socket.socket] = []
"""Bound and never listening: while they are open, the kernel gives their
ports to nobody else, not even between two starts of a program."""


def reserve() -> int:
    """Return a port on which only programs that are told of it listen.

    They have to set ``SO_REUSEADDR``, as trio and hypercorn do.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(('127.0.0.1', 0))
    _held.append(sock)
    return int(sock.getsockname()[1])
