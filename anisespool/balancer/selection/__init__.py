"""Which endpoint an attempt goes to: subset, then eligible endpoints, then a weighted random choice."""
