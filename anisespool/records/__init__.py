"""Each request's path as syslog records: what is written, how it waits, how it leaves, how it is read
again."""
