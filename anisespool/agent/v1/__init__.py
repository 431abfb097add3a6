"""Version 1 of the agent's gRPC interface; the code beside the proto file is generated from it."""
