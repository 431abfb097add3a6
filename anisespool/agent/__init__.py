"""Many instances: found, compared with what is wanted, changed in waves, and shown."""
