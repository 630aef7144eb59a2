"""Ports for listeners whose addresses must be known before they listen."""

import socket


def reserve_port() -> socket.socket:
    """Reserve a loopback port, so that the kernel chooses it for no other socket.

    A process can listen on it as long as it allows the reuse of addresses, as servers
    of asyncio do. Until then, connections are refused.

    :returns: the socket that keeps the port until it is closed.
    """
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(("127.0.0.1", 0))
    return reserved
