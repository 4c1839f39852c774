"""Free ports on the loopback address."""

import socket


def free_address() -> str:
    """Return a loopback address with a free port."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        port = probe.getsockname()[1]
    return f'127.0.0.1:{port}'
