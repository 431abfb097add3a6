"""One instance's control socket and its live configuration. Loaded only where the operator's file asks."""
