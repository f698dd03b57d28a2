"""Program ``limpetwalk`` on a platform with an adapter of its own.

Importing the program takes longer than any other step of the start, and a
caller whose connection is refused is lost. So the socket for callers listens
before the import, and connections wait in its queue.
"""

import os
import socket
import sys

from . import signals

LISTEN_FLAG = "--listen="
# Number of connections that may wait until the program accepts them.
BACKLOG = 512
# aiohttp loads the system's certificates when it is imported, which takes a
# tenth of a second. The gateway doesn't use TLS, so these variables let it
# load none.
NO_CERTIFICATES = {"SSL_CERT_FILE": os.devnull, "SSL_CERT_DIR": os.devnull}


def listen(argv: list[str]) -> socket.socket | None:
    """Return a socket that listens at the flag's address, or None.

    :param argv: arguments of the program.
    """
    for arg in argv:
        if arg.startswith(LISTEN_FLAG):
            host, _, port = arg.removeprefix(LISTEN_FLAG).rpartition(":")
            return socket.create_server(
                (host, int(port)), backlog=BACKLOG, reuse_port=False
            )
    return None


def run() -> None:
    """Run the program."""
    signals.hold()
    try:
        sock = listen(sys.argv)
    except (OSError, ValueError) as exc:
        sys.exit(f"can't listen: {exc}")
    os.environ.update(NO_CERTIFICATES)
    from . import program

    program.run(sock)


if __name__ == "__main__":
    run()
