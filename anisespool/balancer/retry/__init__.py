"""Retries: whether another attempt is allowed, attempt time-outs, and detection of clients' own retries."""
