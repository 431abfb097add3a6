"""Retries: whether one is allowed, attempt time-outs, and detection of clients' own retries."""
