"""Limits on the size of a message.

The platform's protocol allows a body of `MAX_BODY_BYTES`. Correct clients and endpoints exceed that, so the
proxy's limits are multiples of it.
"""

MAX_BODY_BYTES = 64 * 1024
MAX_REQUEST_BODY_BYTES = 2 * MAX_BODY_BYTES
MAX_RESPONSE_BODY_BYTES = 16 * MAX_BODY_BYTES
MAX_HEAD_BYTES = 16 * 1024
# Limit on the received bytes per body byte. Chunks of one byte need six (RFC 9112, 7.1).
CHUNKED_OVERHEAD_FACTOR = 8
