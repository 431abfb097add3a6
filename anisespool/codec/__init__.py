"""Framing and parsing without sockets: HTTP/1.1, JSON streams and load reports of endpoints."""
