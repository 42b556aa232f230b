"""HTTP/1.1 client for discovery and servers: one call at a time on a connection."""

import asyncio

import httptools

MAX_BODY_BYTES = 4 << 20


class HttpConnectionError(Exception):
    """The connection ended, or the response was not valid HTTP or was too long."""


class HttpConnection(asyncio.Protocol):
    """A connection to one server; `get` can be called repeatedly while `is_open`."""

    def __init__(self):
        self.transport = self.response = None  # `response`: the future of the call under way
        self.is_open = self.response_started = False  # `response_started`: some bytes have been received

    def connection_made(self, transport):
        self.transport = transport
        self.is_open = True
        self.parser = httptools.HttpResponseParser(self)
        self.body = []
        self.size = 0

    def data_received(self, data):
        self.response_started = True
        try:
            self.parser.feed_data(data)
        except Exception as error:  # httptools exports no common base class of its errors
            self.fail(f"invalid HTTP response: {type(error).__name__}")

    def on_body(self, body):
        self.size += len(body)
        if self.size > MAX_BODY_BYTES:
            self.fail("the response body is too long")
        else:
            self.body.append(body)

    def on_message_complete(self):
        status, body = self.parser.get_status_code(), b"".join(self.body)
        keep_alive = self.parser.should_keep_alive()
        self.body, self.size = [], 0
        response, self.response = self.response, None
        if not keep_alive:
            self.close()
        if response and not response.done():
            response.set_result((status, body))

    def connection_lost(self, error):
        self.fail(str(error) if error else "the connection was closed")

    def fail(self, reason):
        """Closes the connection; the call under way raises HttpConnectionError with this reason."""
        self.close()
        response, self.response = self.response, None
        if response and not response.done():
            response.set_exception(HttpConnectionError(reason))

    def close(self):
        """Closes the connection without waiting for unsent data."""
        self.is_open = False
        if self.transport:
            self.transport.abort()

    def get(self, path, host):
        """A future of (status, body) of a GET request; it raises HttpConnectionError."""
        response = asyncio.get_running_loop().create_future()
        if not self.is_open:
            response.set_exception(HttpConnectionError("the connection is closed"))
            return response
        self.response = response
        self.transport.write(f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        return response


async def connect(address):
    """Opens an HttpConnection to (host, port). Raises OSError."""
    return (await asyncio.get_running_loop().create_connection(HttpConnection, *address))[1]
