"""One member of the fleet: a process with a fixed name and address, which may be restarted."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from anisespool.config.platform import Address
from anisespool.lab.live import clock_file
from anisespool.lab.live.cpu_contention import CpuContention, core_for
from anisespool.lab.live.process_account import OutageCause, ProcessAccount
from anisespool.lab.live.process_stats import ProcessStats, read_stats
from anisespool.lab.live.process_supervisor import ProcessSupervisor
from anisespool.lab.live.sidecar_client import ClientResponse
from anisespool.lab.live.timing import sleep_until

READY_TIMEOUT_S = 30.0
READY_POLL_S = 0.02
COLLECT_BEFORE_KILL_S = 0.3  # time limit for collecting events before a kill
SHUTDOWN_TIMEOUT_S = 6.0  # SIGTERM to exit: requests in flight get their response within 4.5 s
MAX_STARTING = 8  # processes that start at a time: each start costs 0.2 s of CPU
MEMBER_NICE = 5  # members yield the CPU to the run, which judges them


class ProcessHandle:
    """Starts, ends and disturbs the process of one member, and keeps its account.

    Attributes:
        number: the member's number, from 0.
        folder: folder of its files.
        account: its outages and reported events.
        address: the address that its clients connect to, if it has clients.
        command: arguments of the Python interpreter.
        env: variables that are added to its environment.
        up: whether its clients may send requests.
    """

    def __init__(
        self, number: int, run_folder: Path, supervisor: ProcessSupervisor, source: Path | None = None
    ) -> None:
        self.number = number
        self.folder = run_folder / f"n{number}"
        self.folder.mkdir()
        self.account = ProcessAccount()
        self.address = Address("", 0)
        self.command: list[str] = []
        self.env: dict[str, str] = {}
        self.up = False
        self._supervisor = supervisor
        self._source = source  # root of the checkout that it runs
        self._process: asyncio.subprocess.Process | None = None
        self._contention = CpuContention()
        self._end_expected = False

    @property
    def pid(self) -> int:
        """Its process id.

        Raises:
            RuntimeError: It was never started.
        """
        if self._process is None:
            raise RuntimeError(f"n{self.number} was never started")
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether it was started and has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def log_path(self) -> Path:
        """Where its standard error goes."""
        return self.folder / "log"

    def _stdout(self) -> int | None:
        """Return the target of its standard output; none for that of this process."""
        return None

    def _on_started(self, process: asyncio.subprocess.Process) -> None:
        """Run steps of the subclass as soon as the process is started."""

    def _abort_connections(self) -> None:
        """Abort its clients' connections."""

    def _close_resources(self) -> None:
        """Release resources that were held over restarts."""

    async def is_ready(self) -> bool:
        """Return whether it is ready for requests."""
        raise NotImplementedError

    async def request(self, data: bytes, trace: bytes) -> ClientResponse | None:
        """Send a client's request; return none if no complete response arrived."""
        raise NotImplementedError

    async def collect_events(self) -> None:
        """Add its new events to its account."""

    async def start(self) -> None:
        """Start the process and wait until it is ready.

        Raises:
            RuntimeError: It ended before it was ready.
            TimeoutError: It was not ready in time.
        """
        self._end_expected = False
        process = await self._spawn()
        with suppress(OSError):
            os.setpriority(os.PRIO_PROCESS, process.pid, MEMBER_NICE)
        self._on_started(process)
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.is_ready():
                if process.returncode is not None:
                    raise RuntimeError(f"n{self.number} ended with {process.returncode} during its start")
                await asyncio.sleep(READY_POLL_S)
        self.up = True
        self.account.end_outage(time.monotonic_ns())

    async def _spawn(self) -> asyncio.subprocess.Process:
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self.command,
                env=os.environ | self._supervisor.env | self.env,
                stderr=log,
                stdout=self._stdout(),
                stdin=asyncio.subprocess.DEVNULL,
                cwd=self._source,
            )
        return self._process

    def check_running(self) -> None:
        """Record a crash if the process has ended by itself."""
        process = self._process
        if process and process.returncode is not None and not self._end_expected:
            self._record_crash(f"n{self.number} ended by itself, with {process.returncode}")

    def _record_crash(self, text: str) -> None:
        self.account.crash = self.account.crash or text

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process still runs."""
        if self._process:
            with suppress(ProcessLookupError):
                self._process.send_signal(number)

    async def kill(self) -> None:
        """Collect its events, then send SIGKILL. Clients have to retry requests that were in flight."""
        if not self.account.had_outage_at(time.monotonic_ns()):
            with suppress(TimeoutError):
                async with asyncio.timeout(COLLECT_BEFORE_KILL_S):
                    await self.collect_events()
        begin = time.monotonic_ns()
        self._send_kill()
        await self._wait_ended()
        self.account.begin_outage(begin, OutageCause.KILLED)

    def _send_kill(self) -> None:
        self._end_expected = True
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)

    async def terminate(self) -> None:
        """Send SIGTERM, after which it must complete all requests in flight. Clients stop sending.

        No violation is excused meanwhile, and a shutdown that takes too long counts as a crash.
        """
        self._end_expected = True
        self.up = False
        await self.collect_events()
        self.send_signal(signal.SIGTERM)
        if self._process:
            try:
                async with asyncio.timeout(SHUTDOWN_TIMEOUT_S):
                    await self._process.wait()
            except TimeoutError:
                self._record_crash(f"n{self.number} still ran {SHUTDOWN_TIMEOUT_S:g} s after SIGTERM")
                self.send_signal(signal.SIGKILL)
        await self._wait_ended()

    async def _wait_ended(self) -> None:
        self.up = False
        if self._process:
            await self._process.wait()
        self._abort_connections()

    async def dispose(self) -> None:
        """End the process for good, and release its resources."""
        self._abort_connections()
        await self._contention.stop()
        self._send_kill()
        if self._process:
            await self._process.wait()
        self._close_resources()

    async def freeze(self, until: int) -> None:
        """Send SIGSTOP, and SIGCONT at `until` (monotonic ns)."""
        begin = time.monotonic_ns()
        self.send_signal(signal.SIGSTOP)
        outage = self.account.begin_outage(begin, OutageCause.FROZEN, until)
        await sleep_until(until)
        self.send_signal(signal.SIGCONT)
        outage.end = time.monotonic_ns()

    async def starve(self, until: int) -> None:
        """Bind it to one core, and keep that core busy until `until` (monotonic ns)."""
        if not self._process:
            return
        begin = time.monotonic_ns()
        pid = self._process.pid
        core = core_for(self.number)
        with suppress(OSError):
            os.sched_setaffinity(pid, {core})
        await self._contention.start(core, self._supervisor.env)
        outage = self.account.begin_outage(begin, OutageCause.STARVED, until)
        await sleep_until(until)
        await self._contention.stop()
        with suppress(OSError):
            os.sched_setaffinity(pid, os.sched_getaffinity(0))
        outage.end = time.monotonic_ns()

    def shift_clock(self, seconds: float) -> None:
        """Shift its wall clock against the machine's, starting now (see `mutated_sidecar`)."""
        clock_file.write_offset(self.folder, seconds)
        self.send_signal(signal.SIGUSR2)

    def stats(self) -> ProcessStats:
        """Return the process's CPU time and memory; zeros if it has ended."""
        return read_stats(self.pid) if self.is_running else ProcessStats()


async def start_all(
    members: list[ProcessHandle], on_started: Callable[[int], None] = lambda count: None
) -> None:
    """Start all members, a few at a time; `on_started` is called with the number of ready ones.

    Raises:
        ExceptionGroup: Members were not ready in time, or ended.
    """
    slots = asyncio.Semaphore(MAX_STARTING)
    ready = 0

    async def start(member: ProcessHandle) -> None:
        nonlocal ready
        async with slots:
            await member.start()
        ready += 1
        on_started(ready)

    async with asyncio.TaskGroup() as group:
        for member in members:
            group.create_task(start(member))
