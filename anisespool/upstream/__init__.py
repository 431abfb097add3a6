"""The endpoint side of the proxy: attempts, connections and the pools that keep connections for reuse."""
