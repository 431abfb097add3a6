"""The command: words, tables, progress. What it shows was decided elsewhere."""
