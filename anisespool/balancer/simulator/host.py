"""Hosts decision modules for the simulator: events on standard input, actions on standard output."""

from __future__ import annotations

import json
import sys
from typing import BinaryIO

from anisespool.balancer import interface as api
from anisespool.balancer.balancer import Balancer
from anisespool.balancer.simulator import protocol


class Host:
    """The instances of one process; they share only the numbered endpoint lists of the protocol."""

    def __init__(self) -> None:
        self._balancers: dict[int, Balancer] = {}
        self._endpoint_lists: dict[int, tuple[api.EndpointListing, ...]] = {}

    def handle_batch(self, now_ns: int, count: int, body: bytes) -> list[tuple[int, api.Action]]:
        """Handle the events of a batch in order; return the actions, each with its instance.

        Raises:
            ProtocolError: The bytes are not a valid frame.
        """
        reply: list[tuple[int, api.Action]] = []
        for instance, event in protocol.decode_batch(count, body):
            if isinstance(event, protocol.NumberedEndpointList):
                self._endpoint_lists[event.number] = event.entries
                continue
            try:
                reply.extend((instance, action) for action in self._handle_event(now_ns, instance, event))
            except protocol.ProtocolError:
                raise
            except Exception as error:  # the protocol reports a failed decision module as Fault
                self._balancers.pop(instance, None)
                reply.append((instance, api.Fault(f"{type(error).__name__}: {error}")))
        return reply

    def _handle_event(self, now_ns: int, instance: int, event: protocol.WireEvent) -> list[api.Action]:
        if isinstance(event, protocol.Boot):
            self._balancers.pop(instance, None)
            settings = api.Settings.from_dict(_parse_settings(event.params))
            self._balancers[instance] = Balancer(settings, event.seed)
            return []
        if isinstance(event, protocol.Stop):
            self._balancers.pop(instance, None)
            return []
        balancer = self._balancers.get(instance)
        if balancer is None or isinstance(event, protocol.NumberedEndpointList):
            return []
        if isinstance(event, protocol.EndpointListReference):
            event = self._resolve(event)
        elif isinstance(event, api.RequestArrived) and event.class_index >= len(balancer.settings.classes):
            raise api.SettingsError(f"request class {event.class_index} is not in the settings")
        return balancer.handle(now_ns, event)

    def _resolve(self, ref: protocol.EndpointListReference) -> api.EndpointListUpdate:
        kind = api.EndpointListKind(ref.kind)
        if kind is api.EndpointListKind.FAILED:
            return api.EndpointListUpdate(ref.version, kind)
        if ref.list_number not in self._endpoint_lists:
            raise protocol.ProtocolError(f"endpoint list {ref.list_number} was never sent")
        return api.EndpointListUpdate(ref.version, kind, self._endpoint_lists[ref.list_number])


def _parse_settings(params: bytes) -> dict[str, object]:
    try:
        raw = json.loads(params)
    except ValueError as error:
        raise api.SettingsError(f"settings are not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise api.SettingsError("settings are not a JSON object")
    return raw


def _read_exactly(stream: BinaryIO, size: int) -> bytes:
    data = stream.read(size)
    if len(data) < size:
        raise protocol.ProtocolError(f"input ended inside a frame ({len(data)} of {size} bytes)")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Reply to batches until the input ends; an end inside a batch raises ProtocolError."""
    host = Host()
    while first := source.read(1):
        header = first + _read_exactly(source, protocol.BATCH_HEADER.size - 1)
        count, size, now_ns = protocol.BATCH_HEADER.unpack(header)
        if size < protocol.CLOCK_BYTES:
            raise protocol.ProtocolError(f"batch length {size} is too short for the clock")
        body = _read_exactly(source, size - protocol.CLOCK_BYTES)
        sink.write(protocol.encode_reply(host.handle_batch(now_ns, count, body)))
        sink.flush()


def main() -> int:
    """Serve until the input ends; return the exit status, 2 after a malformed frame."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except protocol.ProtocolError as error:
        print(f"anisespool.balancer.simulator.host: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
