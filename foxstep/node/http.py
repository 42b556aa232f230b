"""One HTTP/1.1 call at a time on a connection, for discovery and servers."""

import asyncio

import httptools

MAX_BODY = 4 << 20  # bytes; what answers more is broken


class Broken(Exception):
    """The connection ended, or brought what is no answer."""


class HttpConnection(asyncio.Protocol):
    """A connection that is asked by `get`, again and again while `open`."""

    def __init__(self):
        self.transport = self.answer = None
        self.open = self.answer_began = False  # `answer_began`: some of an answer has come

    def connection_made(self, transport):
        self.transport, self.open = transport, True
        self.parser, self.body, self.size = httptools.HttpResponseParser(self), [], 0

    def data_received(self, data):
        self.answer_began = True
        try:
            self.parser.feed_data(data)
        except Exception as error:  # httptools' errors have no common base that is exported
            self.end(f"no answer of HTTP: {type(error).__name__}")

    def on_body(self, body):
        self.size += len(body)
        if self.size > MAX_BODY:
            self.end("an answer without end")
        else:
            self.body.append(body)

    def on_message_complete(self):
        status, body = self.parser.get_status_code(), b"".join(self.body)
        keep = self.parser.should_keep_alive()
        self.body, self.size = [], 0
        answer, self.answer = self.answer, None
        if not keep:
            self.close()
        if answer and not answer.done():
            answer.set_result((status, body))

    def connection_lost(self, error):
        self.end(str(error) if error else "closed")

    def end(self, reason):
        self.close()
        answer, self.answer = self.answer, None
        if answer and not answer.done():
            answer.set_exception(Broken(reason))

    def close(self):
        self.open = False
        if self.transport:
            self.transport.abort()

    def get(self, path, host):
        """A future of (status, body)."""
        answer = asyncio.get_running_loop().create_future()
        if not self.open:
            answer.set_exception(Broken("closed"))
            return answer
        self.answer = answer
        self.transport.write(f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        return answer


async def connect(address):
    """A HttpConnection at (host, port). Raises OSError."""
    return (await asyncio.get_running_loop().create_connection(HttpConnection, *address))[1]
