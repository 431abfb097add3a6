"""Request records: samples, encodes, queues and sends them as RFC 5424 syslog messages, and reads them back.

The package is imported only if the operator's file has a section `records`, or by `anisespool trace`.
"""
