"""A plain proxy: gRPC ops in, gRPC ops out, exactly as its tables say. It shares no code with the
controller."""
