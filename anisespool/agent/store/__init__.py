"""The agent's store, a SQLite file: schema, access to each table, and the thread that writes."""
