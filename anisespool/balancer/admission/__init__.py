"""Admission control: whether a request is accepted, or shed and with which Retry-After.

The capacity for open requests is what the fleet was observed to do, not what was offered. Alternatives and
guarantees: docs/admission.md. Times are integer ns, rates are requests per ns.
"""
