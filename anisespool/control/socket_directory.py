"""The directory of control sockets: access rights, and locks on instance names.

The directory has mode 0700 and belongs to the operator's user. It contains `NAME.sock` (mode 0600) and
`NAME.lock` for each instance, which holds the lock until its process ends. If the lock is free, the socket is
left over from a process that ended.
"""

from __future__ import annotations

import fcntl
import os
import re
import socket
import stat
import struct
from pathlib import Path

from anisespool.config.platform import PlatformConfigError
from anisespool.control.errors import AlreadyLockedError, DirectoryError, InstanceNameInUseError

CONTROL_DIRECTORY_KEY = "control.folder"
DIRECTORY_MODE = 0o700
FILE_MODE = 0o600
GROUP_AND_OTHERS_MODE = 0o077
SOCKET_SUFFIX = ".sock"
LOCK_SUFFIX = ".lock"
INSTANCE_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
MAX_SOCKET_PATH_BYTES = 107  # Size of `sun_path` without the terminating null byte, see unix(7).
MAX_PENDING_CONNECTIONS = 16  # Listen backlog.
PEER_CREDENTIALS = struct.Struct("3i")  # Holds pid, uid and gid, see SO_PEERCRED in unix(7).


def prepare_directory(folder: str, key: str = CONTROL_DIRECTORY_KEY) -> Path:
    """Return the directory `folder`. Create it with mode 0700 if it does not exist.

    Args:
        key: Key of the path in the operator's file, for the error text.

    Raises:
        DirectoryError: It is not a directory, can't be created, or is accessible to other users.
    """
    directory = Path(folder)
    try:
        directory.mkdir(mode=DIRECTORY_MODE, parents=True, exist_ok=True)
        status = directory.stat()
    except OSError as error:
        raise DirectoryError(key, f"{folder}: {error.strerror}") from None
    if not stat.S_ISDIR(status.st_mode):
        raise DirectoryError(key, f"{folder} is no folder")
    if status.st_uid != os.geteuid() or status.st_mode & GROUP_AND_OTHERS_MODE:
        mode = stat.S_IMODE(status.st_mode)
        raise DirectoryError(key, f"{folder}: found mode {mode:04o}, wanted 0700 and the same user")
    return directory


def acquire_lock(path: Path) -> int:
    """Lock the file `path`, creating it if it does not exist, and return the descriptor that holds the lock.

    The lock is released when the descriptor is closed, at the latest when the process ends.

    Raises:
        AlreadyLockedError: Another descriptor, of this or another process, holds the lock.
        OSError: The file can't be opened.
    """
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(descriptor)
        raise AlreadyLockedError(path) from None
    return descriptor


class InstanceSocket:
    """The control socket of one instance name, which is locked from creation until `release` is called."""

    def __init__(self, directory: Path, instance: str) -> None:
        """Lock the name `instance` in `directory`.

        Raises:
            PlatformConfigError: The name can't be used in a file name.
            DirectoryError: The path is too long, or the lock file can't be opened.
            InstanceNameInUseError: The name is already locked.
        """
        if not INSTANCE_NAME_PATTERN.fullmatch(instance):
            problem = f"{instance!r} can't name a socket, wanted letters, digits, . _ -"
            raise PlatformConfigError("LB_NAME", problem)
        self.path = directory / f"{instance}{SOCKET_SUFFIX}"
        if len(os.fsencode(self.path)) > MAX_SOCKET_PATH_BYTES:
            problem = f"{self.path} is longer than {MAX_SOCKET_PATH_BYTES} bytes"
            raise DirectoryError(CONTROL_DIRECTORY_KEY, problem)
        try:
            self._lock = acquire_lock(directory / f"{instance}{LOCK_SUFFIX}")
        except OSError as error:
            raise DirectoryError(CONTROL_DIRECTORY_KEY, f"{directory}: {error.strerror}") from None
        except AlreadyLockedError as error:
            raise InstanceNameInUseError(error.path, instance) from None

    def listen(self) -> socket.socket:
        """Return a listening, non-blocking socket. Replace the socket file of a process that ended."""
        self.path.unlink(missing_ok=True)
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        listener.setblocking(False)
        listener.bind(str(self.path))
        self.path.chmod(FILE_MODE)
        listener.listen(MAX_PENDING_CONNECTIONS)
        return listener

    def release(self) -> None:
        """Remove the socket, then release the lock on the name."""
        self.path.unlink(missing_ok=True)
        os.close(self._lock)


def peer_uid(sock: socket.socket) -> int:
    """Return the user id of the process at the other end of a Unix socket."""
    _, uid, _ = PEER_CREDENTIALS.unpack(
        sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
    )
    return int(uid)
