"""Loopback ports that stay reserved for a test process."""

import socket

_held: list[socket.socket] = []
"""Sockets that are bound but never listen.

While they are open, the kernel assigns their ports to no other process, not
even between two starts of a program.
"""


def reserve() -> int:
    """Return a port that the kernel will not assign to other programs.

    A program that listens on it has to set ``SO_REUSEADDR``, as trio and
    hypercorn do.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(('127.0.0.1', 0))
    _held.append(sock)
    return int(sock.getsockname()[1])
