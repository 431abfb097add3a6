"""Admission control: whether a request is accepted, or shed and with which Retry-After.

The capacity for open requests is estimated from answers and load reports, and may exceed the load offered so
far. Alternatives and guarantees: docs/admission.md. Times are integer ns, rates are requests per ns.
"""
