"""Instance names, locks and permissions in the directory of control sockets."""

from __future__ import annotations

import fcntl
import os
import signal
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from anisespool.config.platform import ConfigError
from anisespool.control.errors import InstanceNameInUseError
from anisespool.control.socket_directory import (
    LOCK_SUFFIX,
    InstanceSocket,
    prepare_directory,
)


def is_locked(path: Path) -> bool:
    """Return whether a descriptor of any process holds the lock on the name of the socket `path`."""
    descriptor = os.open(path.with_suffix(LOCK_SUFFIX), os.O_RDWR | os.O_CLOEXEC)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
    except OSError:
        return True
    finally:
        os.close(descriptor)
    return False


@pytest.fixture
def directory(tmp_path: Path) -> Path:
    return prepare_directory(str(tmp_path / "c"))


@contextmanager
def process_with_socket(directory: Path, instance: str) -> Iterator[subprocess.Popen[str]]:
    """Run a process that listens on the control socket of `instance` until it is killed."""
    code = (
        "import sys, time, pathlib; from anisespool.control.socket_directory import InstanceSocket\n"
        "listener = InstanceSocket(pathlib.Path(sys.argv[1]), sys.argv[2]).listen()\n"
        "print('listening', flush=True); time.sleep(60)"
    )
    command = [sys.executable, "-c", code, str(directory), instance]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        try:
            assert process.stdout
            assert process.stdout.readline() == "listening\n"
            yield process
        finally:
            process.kill()


def test_a_name_is_locked_while_its_process_runs_and_a_stale_socket_is_replaced(directory: Path) -> None:
    path = directory / "a.sock"
    with process_with_socket(directory, "a") as process:
        assert is_locked(path)
        with pytest.raises(InstanceNameInUseError, match=f"named a is alive in {directory}"):
            InstanceSocket(directory, "a")
        process.kill()
        assert process.wait() == -signal.SIGKILL
    assert path.exists()
    assert not is_locked(path)
    second = InstanceSocket(directory, "a")
    second.listen().close()
    assert second.path == path
    assert is_locked(path)
    with pytest.raises(InstanceNameInUseError):  # The same process can't lock the name twice.
        InstanceSocket(directory, "a")
    second.release()
    assert not path.exists()
    assert not is_locked(path)


@pytest.mark.parametrize("name", ["../up", "", "x" * 65])
def test_an_instance_name_that_is_not_a_plain_file_name_is_rejected(directory: Path, name: str) -> None:
    with pytest.raises(ConfigError, match="letters"):
        InstanceSocket(directory, name)


@pytest.mark.parametrize("mode", [0o755, 0o710])
def test_a_directory_that_others_can_enter_is_rejected(tmp_path: Path, mode: int) -> None:
    directory = tmp_path / "open"
    directory.mkdir(mode=mode)
    with pytest.raises(ConfigError, match="wanted 0700"):
        prepare_directory(str(directory))


def test_a_path_that_is_not_a_directory_is_rejected(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    with pytest.raises(ConfigError, match=r"control\.folder"):
        prepare_directory(str(tmp_path / "file"))
