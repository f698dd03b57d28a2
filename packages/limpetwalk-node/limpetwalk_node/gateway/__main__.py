"""Program ``limpetwalk`` on a platform with an adapter of its own.

Importing the program takes longer than anything else at a start, and a
caller that is refused a connection is lost. So the callers' socket listens
before the import, and connections wait in its queue.
"""

import os
import socket
import sys

LISTEN_FLAG = "--listen="
# Connections that may wait until the program accepts them.
BACKLOG = 512
# aiohttp reads the system's certificates when it is imported, which takes a
# tenth of a second; nothing here speaks TLS.
NO_CERTIFICATES = {"SSL_CERT_FILE": os.devnull, "SSL_CERT_DIR": os.devnull}


def listen(argv: list[str]) -> socket.socket | None:
    """Return a listening socket for the flag, None without one."""
    for word in argv:
        if word.startswith(LISTEN_FLAG):
            host, _, port = word.removeprefix(LISTEN_FLAG).rpartition(":")
            return socket.create_server(
                (host, int(port)), backlog=BACKLOG, reuse_port=False
            )
    return None


def run() -> None:
    """Run the program."""
    try:
        sock = listen(sys.argv)
    except (OSError, ValueError) as exc:
        sys.exit(f"can't listen: {exc}")
    os.environ.update(NO_CERTIFICATES)
    from . import program

    program.run(sock)


if __name__ == "__main__":
    run()
