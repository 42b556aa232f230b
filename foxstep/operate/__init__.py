"""The operator's gRPC service of a controller, and its client. Messages are JSON by msgspec."""
