"""The gRPC service of a controller for its operators, and a client of it. Messages are encoded as JSON."""
