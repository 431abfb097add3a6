"""The operator's file (TOML): every feature beyond the platform's is switched on here, and off without it.

What a Document holds can change while an instance runs, as one document with a generation and a digest; the
rest is read once, at the start. Checked by msgspec; a wrong file is one line that names file, key, what was
found and what was wanted.
"""

from __future__ import annotations

import hashlib
import ipaddress
import re
import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal, TypeVar

import msgspec
from msgspec import Meta

from anisespool.config.platform import Address, ConfigError

MOST_BYTES = 64 * 1024  # of a file or document: what the control channel takes in one piece
MOST_DRAINED = 1000
T = TypeVar("T")
NAME = Annotated[str, Meta(min_length=1, max_length=200)]


class Control(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One instance's control socket, `NAME.sock` in a folder of mode 0700. Off without the section."""

    folder: NAME
    most_connections: Annotated[int, Meta(ge=1, le=64)] = 8  # controllers at once
    silence_s: Annotated[float, Meta(gt=0, le=60)] = 5.0  # a controller that says nothing is cut off


class Endpoints(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Endpoints that the operator drains, by their ids in discovery's list."""

    drained: Annotated[list[NAME], Meta(max_length=MOST_DRAINED)] = []


class Connections(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Connections to endpoints, and the application's at rest."""

    idle_per_endpoint: Annotated[int, Meta(ge=0, le=10_000)] = 48  # kept at most; more cost endpoints room
    rest_ms: Annotated[float, Meta(ge=0, le=10_000)] = 20.0  # between two requests on one connection
    connect_timeout_ms: Annotated[float, Meta(gt=0, le=60_000)] | None = None  # none: the platform's
    client_kept_s: Annotated[float, Meta(gt=0, le=3600)] = 10.0  # at rest after an answer


class Discovery(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Where the list of endpoints is watched, in place of the platform's address."""

    address: str | None = None


class Member(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A member's share of what the fleet can do, in place of the platform's."""

    share: Annotated[float, Meta(gt=0, le=1)]


SHARE = Annotated[float, Meta(ge=0, le=1)]


class ClassSampling(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Of one class, in place of the section's own."""

    served: SHARE | None = None
    gone: SHARE | None = None
    rejected: SHARE | None = None


class Sampling(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Which shares of the records are written. Of the refused and the failed all are, always."""

    served: SHARE = 1.0
    gone: SHARE = 1.0  # its client went away
    rejected: SHARE = 1.0  # by the front, unread or for what there isn't
    classes: Annotated[dict[NAME, ClassSampling], Meta(max_length=1000)] = {}


class Records(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Each request's path as a syslog record. Off without the section."""

    to: NAME  # udp://IP:PORT, tcp://IP:PORT, tls://IP:PORT or unix:///PATH
    framing: Literal["octets", "newline"] = "octets"  # of tcp; tls has octets always
    enterprise: Annotated[str, Meta(pattern=r"^[0-9]{1,10}(\.[0-9]{1,10}){0,3}\Z")] = "32473"
    facility: Annotated[int, Meta(ge=0, le=23)] = 16
    host: Annotated[str, Meta(max_length=255)] | None = None  # none: the machine's
    app: Annotated[str, Meta(min_length=1, max_length=48)] = "anisespool"
    most_bytes: Annotated[int, Meta(ge=4096, le=2**30)] = 2**20  # that wait
    most_records: Annotated[int, Meta(ge=1, le=10**7)] = 4096
    goes: Literal["served", "oldest", "newest"] = "served"  # when there is no room
    longest: Annotated[int, Meta(ge=480, le=65_000)] = 2048  # octets of a record
    longest_value: Annotated[int, Meta(ge=16, le=65_000)] = 256
    flush_ms: Annotated[float, Meta(ge=0, le=10_000)] = 100.0  # records wait so long for others to go with
    last_s: Annotated[float, Meta(ge=0, le=10)] = 0.5  # after the last answer, for what waits
    doubt_bytes: Annotated[int, Meta(ge=0, le=2**26)] = 2**18  # the last of a lost connection: unsure
    ca: NAME | None = None  # the three and `name`: of tls
    certificate: NAME | None = None
    key: NAME | None = None
    name: NAME | None = None  # in the receiver's certificate; none: its address

    @property
    def is_stream(self) -> bool:
        return self.to.startswith(("tcp:", "tls:"))

    @property
    def target(self) -> tuple[str, Address | str]:
        """Scheme, and address or path. ValueError if it is none of these."""
        scheme, _, place = self.to.partition("://")
        if scheme == "unix" and place.startswith("/") and len(place.encode()) <= 107:
            return scheme, place
        if scheme not in ("udp", "tcp", "tls"):
            raise ValueError(scheme)
        address = Address.parse(place)
        ipaddress.IPv4Address(address.host)  # a name would have to be looked up, at any moment
        return scheme, address


class Peers(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Who of the fleet is alive, by talk between sidecars. Off without the section, and where the platform's
    settings do not allow it (docs/membership.md)."""

    period_ms: Annotated[float, Meta(ge=20, le=60_000)] = 120.0  # between two probes
    answer_ms: Annotated[float, Meta(ge=5, le=30_000)] = 200.0  # for its answer, before others are asked
    whole_ms: Annotated[float, Meta(ge=10, le=60_000)] = 500.0  # for any answer, before it is suspect
    helpers: Annotated[int, Meta(ge=0, le=10)] = 3
    shortest_ms: Annotated[float, Meta(ge=50, le=600_000)] = (
        2400.0  # from silence to gone, confirmed by `enough`
    )
    longest_ms: Annotated[float, Meta(ge=50, le=600_000)] = 3500.0  # confirmed by nobody
    enough: Annotated[int, Meta(ge=1, le=20)] = 3
    gossip_ms: Annotated[float, Meta(ge=20, le=10_000)] = 200.0
    fanout: Annotated[int, Meta(ge=1, le=10)] = 3
    compare_ms: Annotated[float, Meta(ge=50, le=600_000)] = 1000.0  # a part of the view against another's
    again_ms: Annotated[float, Meta(ge=50, le=600_000)] = 1000.0  # tries to reach one that is gone
    pause_ms: Annotated[float, Meta(ge=50, le=60_000)] = 300.0  # from which on it was itself away
    grace_ms: Annotated[float, Meta(ge=0, le=60_000)] = 1000.0  # after that, before it accuses
    most_per_s: Annotated[float, Meta(ge=1, le=10_000)] = 200.0  # datagrams that it sends


Members = Annotated[dict[NAME, Member], Meta(max_length=10_000)]


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, omit_defaults=True):
    """A live change. A section that it has takes the place of the file's; one that it hasn't is as the
    instance's own file says. So the empty document means the file."""

    endpoints: Endpoints | None = None
    connections: Connections | None = None
    discovery: Discovery | None = None
    members: Members | None = None
    sampling: Sampling | None = None


class Agent(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The agent of the instances in `control.folder`. `state`: a folder of its own, mode 0700."""

    state: NAME
    tcp: str | None = None  # host:port beside the Unix socket, only with all three files below
    certificate: str | None = None
    key: str | None = None
    clients_ca: str | None = None  # clients show a certificate that this signed
    scan_s: Annotated[float, Meta(gt=0, le=60)] = 0.5  # looks into the folder
    ask_s: Annotated[float, Meta(gt=0, le=60)] = 1.0  # asks each instance
    answer_s: Annotated[float, Meta(gt=0, le=60)] = 2.0  # an instance that takes longer is unreachable
    at_once: Annotated[int, Meta(ge=1, le=1000)] = 64  # instances told something at the same moment
    most_instances: Annotated[int, Meta(ge=1, le=100_000)] = 10_000
    most_watchers: Annotated[int, Meta(ge=1, le=1000)] = 32

    @property
    def socket(self) -> Path:
        """Where its gRPC side listens, and the command finds it."""
        return Path(self.state).absolute() / "agent.sock"


class OperatorFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The whole file."""

    control: Control | None = None
    agent: Agent | None = None
    endpoints: Endpoints = Endpoints()
    connections: Connections = Connections()
    discovery: Discovery = Discovery()
    members: Members = {}
    records: Records | None = None
    peers: Peers | None = None
    sampling: Sampling = Sampling()

    def with_document(self, document: Document) -> OperatorFile:
        """This file with a document's sections in place of its own."""
        given = {name: getattr(document, name) for name in LIVE}
        return msgspec.structs.replace(self, **{k: v for k, v in given.items() if v is not None})


LIVE = tuple(field.name for field in msgspec.structs.fields(Document))


def read_file(path: str) -> OperatorFile:
    """The whole file, or a ConfigError of one line."""
    try:
        with open(path, "rb") as file:
            data = file.read(MOST_BYTES + 1)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror or error}") from None
    return from_raw(parse_toml(data, path), path)


def check_classes(file: OperatorFile, classes: list[str], source: str) -> None:
    """ConfigError for shares of a class that the platform doesn't have."""
    for name in file.sampling.classes:
        if name not in classes:
            text = f"found no such class, wanted one of {', '.join(classes)}"
            raise ConfigError(f"{source}: sampling.classes.{name}: {text}"[:400])


def parse_toml(data: bytes, path: str) -> dict[str, Any]:
    """TOML to its tables, or a ConfigError that names the file and the line."""
    if len(data) > MOST_BYTES:
        raise ConfigError(f"{path}: found over {MOST_BYTES} bytes, wanted at most that")
    try:
        return tomllib.loads(data.decode())
    except (UnicodeDecodeError, tomllib.TOMLDecodeError, RecursionError) as error:
        raise ConfigError(f"{path}: {error}") from None


def from_raw(raw: dict[str, Any], path: str) -> OperatorFile:
    """The file's tables as checked types."""
    file = _convert(raw, OperatorFile, path)
    _check(file, path)
    if file.agent and file.control is None:
        raise ConfigError(f"{path}: control: found nothing, wanted its folder: the agent looks there")
    if file.agent and file.agent.tcp is not None:
        for key in ("certificate", "key", "clients_ca"):
            if getattr(file.agent, key) is None:
                raise ConfigError(f"{path}: agent.{key}: found nothing, wanted a file: TCP needs mutual TLS")
        _check_address(file.agent.tcp, "agent.tcp", path)
    return file


def document(raw: Any, path: str) -> Document:
    """A live change. One that names other keys is refused, by their names: they need a restart."""
    if not isinstance(raw, dict):
        raise ConfigError(f"{path}: found {_shown(raw)}, wanted tables {', '.join(LIVE)}")
    fixed = sorted(key for key in raw if key not in LIVE)
    if fixed:
        names = ", ".join(str(key) for key in fixed)[:200]
        raise ConfigError(f"{path}: {names}: found in a live change, wanted only {', '.join(LIVE)}")
    made = _convert(raw, Document, path)
    _check(OperatorFile().with_document(made), path)
    return made


def digest(made: Document) -> str:
    """Documents that mean the same have the same: sections in order, their defaults filled in."""
    return hashlib.sha256(encode(made)).hexdigest()[:32]


def encode(made: Document) -> bytes:
    """Canonical JSON: keys sorted, so that equal contents are equal bytes."""
    return msgspec.json.encode(made, order="sorted")


def raw(made: Document | OperatorFile) -> dict[str, Any]:
    """As plain tables."""
    built: dict[str, Any] = msgspec.to_builtins(made)
    return built


def _convert(raw: dict[str, Any], kind: type[T], path: str) -> T:
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        text, _, place = str(error).partition(" - at `$")
        key = place.rstrip("`").lstrip(".")
        unknown = re.search(r"unknown field `(.*)`", text)
        if unknown:
            name = f"{key}.{unknown[1]}".lstrip(".")
            raise ConfigError(f"{path}: {name}: found a key that nothing reads, wanted none") from None
        missing = re.search(r"required field `(.*)`", text)
        if missing:
            raise ConfigError(f"{path}: {key}.{missing[1]}: found nothing, wanted a value") from None
        wanted = text.removeprefix("Expected ").split(", got ")[0].replace("`", "")
        raise ConfigError(f"{path}: {key}: found {_shown(_at(raw, key))}, wanted {wanted}") from None


def _check(file: OperatorFile, path: str) -> None:
    if len(set(file.endpoints.drained)) != len(file.endpoints.drained):
        raise ConfigError(f"{path}: endpoints.drained: found an id twice, wanted each once")
    if file.discovery.address is not None:
        _check_address(file.discovery.address, "discovery.address", path)
    if file.records:
        _check_records(file.records, path)
    if file.peers and file.peers.shortest_ms > file.peers.longest_ms:
        found = f"found {file.peers.shortest_ms:g}, wanted at most longest_ms, {file.peers.longest_ms:g}"
        raise ConfigError(f"{path}: peers.shortest_ms: {found}")


def _check_records(records: Records, path: str) -> None:
    try:
        scheme, _ = records.target
    except ValueError:
        wanted = "udp://, tcp:// or tls:// with IP:PORT, or unix:///PATH"
        raise ConfigError(f"{path}: records.to: found {_shown(records.to)}, wanted {wanted}") from None
    if scheme == "tls" and records.ca is None:
        raise ConfigError(f"{path}: records.ca: found nothing, wanted the file that verifies the receiver")
    if scheme == "tls" and records.framing != "octets":
        raise ConfigError(f"{path}: records.framing: found newline, wanted octets: TLS has no other")
    if (records.certificate is None) is not (records.key is None):
        raise ConfigError(f"{path}: records.key: found certificate or key alone, wanted both or none")


def _check_address(value: str, key: str, path: str) -> None:
    try:
        Address.parse(value)
    except ValueError:
        raise ConfigError(f"{path}: {key}: found {_shown(value)}, wanted host:port") from None


def _at(raw: Any, key: str) -> Any:
    """What stands at a place like `endpoints.drained[0]`; `[...]` is any entry of a table."""
    for part in re.findall(r"[^.\[\]]+|\[\d+\]|\[\.\.\.\]", key):
        if part == "[...]":
            return list(raw.values())[:1] if isinstance(raw, dict) else raw
        try:
            raw = raw[int(part[1:-1])] if part.startswith("[") else raw[part]
        except (KeyError, IndexError, TypeError):
            return None
    return raw


def _shown(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."
