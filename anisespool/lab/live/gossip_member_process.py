"""A member that runs the fake of a gossiping process (`fakes/gossip_process.py`)."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from pathlib import Path

from anisespool.lab.live.backend_messages import PeerNetwork
from anisespool.lab.live.process_account import ReportedEvent
from anisespool.lab.live.process_handle import ProcessHandle
from anisespool.lab.live.process_supervisor import ProcessSupervisor


class GossipMemberProcess(ProcessHandle):
    """A gossiping process. It reports events on standard output; it is ready once it has reported one."""

    def __init__(
        self,
        number: int,
        run_folder: Path,
        supervisor: ProcessSupervisor,
        network: PeerNetwork,
        budget: float,  # units, for all members together
        mutation: str = "",  # deliberate defect of this member; empty for none
    ) -> None:
        super().__init__(number, run_folder, supervisor)
        configuration = {
            "number": number,
            "peers": [peer.address for peer in network.peers],
            "budget": budget,
            "listen": network.peers[number].listen,
            "till": network.budget_server,
            "spoilt": mutation,
        }
        path = self.folder / "talker.json"
        path.write_text(json.dumps(configuration))
        self.command = ["-m", "anisespool.fakes.gossip_process", str(path)]
        self._reader_task: asyncio.Task[None] | None = None
        self._has_reported = False

    def _stdout(self) -> int | None:
        return asyncio.subprocess.PIPE  # not the standard output of this process

    def _on_started(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout
        self._has_reported = False
        self._reader_task = asyncio.get_running_loop().create_task(self._read(process.stdout))

    async def _read(self, stdout: asyncio.StreamReader) -> None:
        async for line in stdout:
            with suppress(ValueError):
                self.account.add_events([ReportedEvent.from_json(json.loads(line))])
                self._has_reported = True

    async def is_ready(self) -> bool:
        """Return whether it has reported an event."""
        return self._has_reported

    async def collect_events(self) -> None:
        """Let the reader task process the lines that have arrived."""
        await asyncio.sleep(0)
