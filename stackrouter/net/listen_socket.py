"""Opens listening sockets; errors name the address."""

from __future__ import annotations

from gevent import socket

from stackrouter.errors import ListenError


def listen_at(address: tuple[str, int], backlog: int, inherited: int | None = None) -> socket.socket:
    """Return a listening socket. ListenError: none can be opened at `address`.

    `inherited`: the descriptor of a socket that another process holds too, used instead of binding.
    """
    try:
        if inherited is not None:
            sock = socket.socket(fileno=inherited)
        else:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)
        sock.listen(backlog)
    except OSError as error:
        raise ListenError(error.strerror or error, address="{}:{}".format(*address)) from None
    return sock
