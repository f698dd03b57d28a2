"""Free TCP ports of the loopback interface."""

import socket

HOST = "127.0.0.1"
TRIES = 100


def free_ports(count: int, host: str = HOST) -> list[int]:
    """Return ports that nothing listens on, all different.

    They are free when the function returns; whoever needs them listens soon.

    :param host: loopback address that is to listen.
    """
    held = []
    try:
        for _ in range(count):
            sock = socket.socket()
            held.append(sock)
            sock.bind((host, 0))
        return [sock.getsockname()[1] for sock in held]
    finally:
        for sock in held:
            sock.close()


def free_port_range(count: int) -> int:
    """Return the first of several free ports in a row.

    :raises OSError: when no such run was found.
    """
    for _ in range(TRIES):
        first = free_ports(1)[0]
        if all(_is_free(first + step) for step in range(count)):
            return first
    raise OSError(f"no {count} free ports in a row")


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((HOST, port))
        except (OSError, OverflowError):
            return False
    return True
