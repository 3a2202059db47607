"""Ports for the programs that a test starts."""

import errno
import fcntl
import os
import random
import socket
import tempfile

# Below the ports that the system gives to connections and unnamed listeners,
# which would take a port while no process listens there.
PORTS = range(15000, 30000)

_locks = []  # Locked files of this process, one for each port that it was given.


def free_port(ports=PORTS):
    """A port of loopback that nothing uses for TCP or UDP. No other test of this
    machine gets it before this process ends: between this call and the moment
    when the started program binds the port, only the lock says that it is taken.

    Raises RuntimeError if no port is left."""
    start = random.SystemRandom().randrange(len(ports))
    for offset in range(len(ports)):
        port = ports[(start + offset) % len(ports)]
        lock = _lock(port)
        if lock is None:
            continue
        if _is_unused(port):
            _locks.append(lock)
            return port
        lock.close()
    raise RuntimeError(f"no port is free in {ports}")


def _lock(port):
    """The port's lock file, locked until it is closed; None if it is locked."""
    directory = os.path.join(tempfile.gettempdir(), f"qp-ports-{os.getuid()}")
    os.makedirs(directory, exist_ok=True)
    file = open(os.path.join(directory, str(port)), "ab")
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        file.close()
        return None
    return file


def _is_unused(port):
    with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagram:
        try:
            stream.bind(("127.0.0.1", port))
            datagram.bind(("127.0.0.1", port))
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            return False
    return True
