"""Messages between controllers as UDP datagrams. The log events call such a message a note."""

import asyncio

import structlog

MAX_DATAGRAM_BYTES = 256  # a longer one invalidates the run on the platform


class PeerTransport(asyncio.DatagramProtocol):
    """Sends and receives the controllers' messages.

    `peers` are the controllers' (host, port) addresses by their numbers; `broadcast_address` reaches all of
    them."""

    def __init__(self, host, peers, broadcast_address):
        self.host = host
        self.log = structlog.get_logger("foxstep.notes")
        self.transport = None
        self.set_addresses(peers, broadcast_address)
        host.tell = self.send

    def set_addresses(self, peers, broadcast_address):
        """Changes the addresses of the controllers."""
        self.peers = peers
        self.broadcast_address = broadcast_address
        self.numbers = {peer: number for number, peer in enumerate(peers)}

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, address):
        """Ignores datagrams from any address other than the controllers' own."""
        number = self.numbers.get(address[:2])
        if number is None or len(data) > MAX_DATAGRAM_BYTES:
            self.log.warning("note passed over", sender=str(address[0]), bytes=len(data))
        else:
            self.host.told(number, data)

    def error_received(self, error):
        self.log.warning("note lost", why=str(error))

    def send(self, peer, payload):
        """Sends a message to one controller, or to all if `peer` is None.

        A message that is too long or has no address is a fault of this program and is logged as an error."""
        address = (
            self.broadcast_address if peer is None else self.peers[peer] if peer < len(self.peers) else None
        )
        if not self.transport or not address or len(payload) > MAX_DATAGRAM_BYTES:
            self.log.error("note not sent", peer=peer, bytes=len(payload))
        else:
            self.transport.sendto(payload, address)
