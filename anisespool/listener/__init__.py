"""The client side: accepted connections, request validation, keep-alive policy and graceful shutdown."""
