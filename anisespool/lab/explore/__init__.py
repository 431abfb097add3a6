"""All interleavings of a small world of a pure protocol core: docs/fleetrig.md."""
