"""The request lifecycle for any protocol: calls, attempts, deadlines and exactly one final response."""
