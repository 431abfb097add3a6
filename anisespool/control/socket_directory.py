"""The directory of control sockets, and who may connect there.

A directory of the operator's own, mode 0700. Each instance has `NAME.sock` (mode 0600) and `NAME.lock` in it,
and holds the lock while it lives: a socket whose lock is free was left by a process that is dead.
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
OTHERS_MODE = 0o077  # bits of group and others
SOCKET_SUFFIX = ".sock"
LOCK_SUFFIX = ".lock"
INSTANCE_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
MAX_SOCKET_PATH_BYTES = 107  # unix(7): sun_path less its terminating null byte
MAX_PENDING_CONNECTIONS = 16  # not accepted yet
UCRED = struct.Struct("3i")  # pid, uid, gid: unix(7), SO_PEERCRED


def prepare_directory(folder: str, key: str = CONTROL_DIRECTORY_KEY) -> Path:
    """Return the directory `folder`, created with mode 0700 if it is missing.

    Args:
        folder: Its path.
        key: The key of the operator's file that names it, for the error.

    Raises:
        DirectoryError: It is no directory, can't be created, or others than this user can enter it.
    """
    directory = Path(folder)
    try:
        directory.mkdir(mode=DIRECTORY_MODE, parents=True, exist_ok=True)
        status = directory.stat()
    except OSError as error:
        raise DirectoryError(key, f"{folder}: {error.strerror}") from None
    if not stat.S_ISDIR(status.st_mode):
        raise DirectoryError(key, f"{folder} is no folder")
    if status.st_uid != os.geteuid() or status.st_mode & OTHERS_MODE:
        mode = stat.S_IMODE(status.st_mode)
        raise DirectoryError(key, f"{folder}: found mode {mode:04o}, wanted 0700 and the same user")
    return directory


def acquire_lock(path: Path) -> int:
    """Lock the file `path`, created if it is missing, and return the descriptor that holds the lock.

    The lock ends when the descriptor is closed, at the latest with the process.

    Raises:
        AlreadyLockedError: Another process has the lock.
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
    """The socket of one instance name, locked against other processes from creation to `release`.

    Attributes:
        path: Of the socket.
    """

    def __init__(self, directory: Path, instance: str) -> None:
        """Lock the name `instance` in `directory`.

        Raises:
            PlatformConfigError: The name can't be a socket's.
            DirectoryError: The path is too long, or the directory can't be written.
            InstanceNameInUseError: Another living process has the name.
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
        """Return a listening, non-blocking socket, in place of one that a dead process left."""
        self.path.unlink(missing_ok=True)
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        listener.setblocking(False)
        listener.bind(str(self.path))
        self.path.chmod(FILE_MODE)
        listener.listen(MAX_PENDING_CONNECTIONS)
        return listener

    def release(self) -> None:
        """Remove the socket, then free the name for other processes."""
        self.path.unlink(missing_ok=True)
        os.close(self._lock)


def peer_uid(sock: socket.socket) -> int:
    """Return the user id of the process at the other end of a Unix socket."""
    _, uid, _ = UCRED.unpack(sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, UCRED.size))
    return int(uid)
