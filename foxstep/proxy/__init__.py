"""A small HTTP/2 gRPC proxy that forwards ops according to the tables that its controller sends by xDS.

It shares no code with the controller.
"""
