"""A soak of real sidecars under drawn faults, judged from outside by what clients and endpoints saw.

`python -m tests.soak --seeds 1-50` plays a run for each seed; `tests/faults/test_soak.py` plays a few in CI.
"""
