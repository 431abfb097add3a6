"""The agent's store, a SQLite file: schema, rows of each table, and the thread that writes."""
