"""Is a request accepted, or shed with which Retry-After?

The capacity for open requests is what the fleet was shown to do, not what was offered. The options that were
weighed and what this promises: docs/admission.md. Times are integer ns, rates requests per ns.
"""
