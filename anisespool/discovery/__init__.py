"""Service discovery: watches the endpoint list, and tracks which endpoints are withdrawn from use."""
