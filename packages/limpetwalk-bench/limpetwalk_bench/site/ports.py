"""Free TCP ports of the loopback interface."""

import os
import socket

HOST = "127.0.0.1"
MAX_ATTEMPTS = 100


def own_host(number: int = 1) -> str:
    """Return a loopback address that no other process uses.

    The port of a node's metrics page is the same on all nodes.

    :param number: distinguishes addresses of this process, 1 to 254.
    """
    pid = os.getpid()
    return f"127.{pid // 250 % 250 + 1}.{pid % 250 + 1}.{number}"


def free_ports(count: int, host: str = HOST) -> list[int]:
    """Return different ports that nothing listens on.

    They are free when the function returns. The caller must listen soon,
    before another process uses them.

    :param count: number of ports.
    :param host: loopback address to check.
    """
    sockets = []
    try:
        for _ in range(count):
            sock = socket.socket()
            sockets.append(sock)
            sock.bind((host, 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


def free_port_range(count: int) -> int:
    """Return the first of several consecutive free ports.

    :param count: number of ports.
    :raises OSError: when no such range was found.
    """
    for _ in range(MAX_ATTEMPTS):
        first = free_ports(1)[0]
        if all(_is_free(first + offset) for offset in range(count)):
            return first
    raise OSError(
        f"no {count} consecutive free ports in {MAX_ATTEMPTS} attempts"
    )


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((HOST, port))
        except (OSError, OverflowError):
            return False
    return True
