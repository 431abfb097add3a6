"""HTTP/1.1 parsing and encoding for clients, endpoints, discovery and the control socket, without I/O."""

from anisespool.codec.http1.encoding import encode_request, encode_response
from anisespool.codec.http1.limits import MAX_BODY_BYTES, MAX_REQUEST_BODY_BYTES, MAX_RESPONSE_BODY_BYTES
from anisespool.codec.http1.message import Request, Response
from anisespool.codec.http1.request_parser import RequestParser
from anisespool.codec.http1.response_parser import ResponseParser

__all__ = [
    "MAX_BODY_BYTES",
    "MAX_REQUEST_BODY_BYTES",
    "MAX_RESPONSE_BODY_BYTES",
    "Request",
    "RequestParser",
    "Response",
    "ResponseParser",
    "encode_request",
    "encode_response",
]
