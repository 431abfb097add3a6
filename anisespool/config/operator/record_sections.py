"""The sections `[records]` and `[sampling]`: where request records are sent, and the shares written."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, Literal

from msgspec import Meta, field

from anisespool.config.operator.destination import Destination, Transport, parse_destination
from anisespool.config.operator.section import Name, Section

Share = Annotated[float, Meta(ge=0, le=1)]
STREAM_URL_PREFIXES = (f"{Transport.TCP}:", f"{Transport.TLS}:")


class Framing(StrEnum):
    """Framing of records on a stream (RFC 6587). The values are those in the file."""

    OCTET_COUNTING = "octets"
    NEWLINE = "newline"


class ClassSampling(Section, frozen=True, kw_only=True):
    """`[sampling.classes.NAME]`: the shares for one request class. None means the share in `[sampling]`."""

    served: Share | None = None
    client_disconnected: Share | None = field(default=None, name="gone")
    rejected: Share | None = None


class SamplingOptions(Section, frozen=True, kw_only=True):
    """`[sampling]`: the shares of the records that are written, by outcome.

    Requests that were shed or failed are always recorded.

    Attributes:
        served: Share for requests that an endpoint answered.
        client_disconnected: Share for requests whose client disconnected before the response.
        rejected: Share for requests that the listener rejected as malformed or unknown.
        classes: Shares by request class, which replace those above.
    """

    served: Share = 1.0
    client_disconnected: Share = field(default=1.0, name="gone")
    rejected: Share = 1.0
    classes: Annotated[dict[Name, ClassSampling], Meta(max_length=1000)] = field(default_factory=dict)


class RecordOptions(Section, frozen=True, kw_only=True):
    """`[records]`: a syslog record (RFC 5424) for each request, subject to `[sampling]`.

    Off without the section.

    Attributes:
        destination: `udp://IP:PORT`, `tcp://IP:PORT`, `tls://IP:PORT` or `unix:///PATH`.
        framing: Framing of records on TCP; TLS always uses octet counting (RFC 5425).
        enterprise_number: Private enterprise number of the structured data (RFC 5424, 7.2.2).
        facility: Syslog facility.
        hostname: HOSTNAME of each record. None means the machine's host name.
        app_name: APP-NAME of each record.
        max_buffered_bytes: Maximum size of the records that wait to be sent.
        max_buffered_records: Maximum number of records that wait to be sent.
        drop_policy: Records that are dropped first when the buffer is full.
        max_record_bytes: Maximum size of a record; longer ones are truncated.
        max_value_bytes: Maximum size of a parameter value.
        flush_interval_ms: Time that a record waits for others to be sent with it.
        shutdown_flush_s: Time after the last response to send the records that still wait.
        unconfirmed_bytes: Number of bytes last written to a lost connection; records in them count as
            unconfirmed.
        ca_file: CA certificate that verifies the receiver, for TLS.
        certificate_file: Certificate of the client, for TLS.
        key_file: Key of that certificate.
        server_name: Name in the receiver's certificate, for TLS. None means its address.
    """

    destination: Name = field(name="to")
    framing: Framing = Framing.OCTET_COUNTING
    enterprise_number: Annotated[str, Meta(pattern=r"^[0-9]{1,10}(\.[0-9]{1,10}){0,3}\Z")] = field(
        default="32473", name="enterprise"
    )
    facility: Annotated[int, Meta(ge=0, le=23)] = 16
    hostname: Annotated[str, Meta(max_length=255)] | None = field(default=None, name="host")
    app_name: Annotated[str, Meta(min_length=1, max_length=48)] = field(default="anisespool", name="app")
    max_buffered_bytes: Annotated[int, Meta(ge=4096, le=2**30)] = field(default=2**20, name="most_bytes")
    max_buffered_records: Annotated[int, Meta(ge=1, le=10**7)] = field(default=4096, name="most_records")
    drop_policy: Literal["served", "oldest", "newest"] = field(default="served", name="goes")
    max_record_bytes: Annotated[int, Meta(ge=480, le=65_000)] = field(default=2048, name="longest")
    max_value_bytes: Annotated[int, Meta(ge=16, le=65_000)] = field(default=256, name="longest_value")
    flush_interval_ms: Annotated[float, Meta(ge=0, le=10_000)] = field(default=100.0, name="flush_ms")
    shutdown_flush_s: Annotated[float, Meta(ge=0, le=10)] = field(default=0.5, name="last_s")
    unconfirmed_bytes: Annotated[int, Meta(ge=0, le=2**26)] = field(default=2**18, name="doubt_bytes")
    ca_file: Name | None = field(default=None, name="ca")
    certificate_file: Name | None = field(default=None, name="certificate")
    key_file: Name | None = field(default=None, name="key")
    server_name: Name | None = field(default=None, name="name")

    @property
    def parsed_destination(self) -> Destination:
        """The parsed destination.

        Raises:
            DestinationError: The URL is invalid, see `parse_destination`.
        """
        return parse_destination(self.destination)

    @property
    def is_stream(self) -> bool:
        """Whether records are sent over a connection, which can be lost together with unconfirmed records."""
        return self.destination.startswith(STREAM_URL_PREFIXES)
