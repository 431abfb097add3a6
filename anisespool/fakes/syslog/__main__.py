"""A receiver as a process: `python -m anisespool.fakes.syslog udp|tcp`.

It prints its address as JSON, and reads one command per line: `stall` stops receiving, `go on` resumes it,
and `count` prints the counts as a line of JSON. It ends at an empty line or the end of its input.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections import Counter
from typing import Any

from anisespool.fakes.syslog.parser import Message
from anisespool.fakes.syslog.receiver import Receiver

MAX_REPORTED_ERRORS = 3


class MessageCounter:
    """Counts messages by MSGID, and adds up the numbers in gap reports.

    Attributes:
        counts: Messages by MSGID; sums of numbers in gap reports by `gap.` and the parameter's name.
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, message: Message) -> None:
        """Count one message."""
        self.counts[message.msgid] += 1
        if message.msgid != "gap":
            return
        sd_id = next(sd_id for sd_id in message.structured_data if sd_id.startswith("gap@"))
        for name, value in message.structured_data[sd_id]:
            if value.isdigit():
                self.counts[f"gap.{name}"] += int(value)


def counts_report(receiver: Receiver, counter: MessageCounter) -> dict[str, Any]:
    """Return the object that the command `count` prints."""
    return {
        "count": receiver.message_count,
        "faults": receiver.errors[:MAX_REPORTED_ERRORS],
        "seen": counter.counts,
        "cpu_s": time.process_time(),
    }


async def main(transport: str) -> None:
    """Receive by `udp` or `tcp`, and run commands until there are no more."""
    loop = asyncio.get_running_loop()
    counter = MessageCounter()
    receiver = Receiver()
    receiver.on_message = counter.add
    async with receiver.datagrams() if transport == "udp" else receiver.stream():
        print(json.dumps(receiver.address), flush=True)
        while command := (await loop.run_in_executor(None, sys.stdin.readline)).strip():
            if command == "count":
                print(json.dumps(counts_report(receiver, counter)), flush=True)
            else:
                receiver.set_reading(command != "stall")


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
