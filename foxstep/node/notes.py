"""Notes between controllers, over UDP."""

import asyncio

import structlog

LONGEST = 256  # bytes: a longer one voids the run


class Notes(asyncio.DatagramProtocol):
    """`peers`: addresses by the controllers' numbers; `everyone`: that of all."""

    def __init__(self, host, peers, everyone):
        self.host, self.log = host, structlog.get_logger("foxstep.notes")
        self.transport = None
        self.move(peers, everyone)
        host.tell = self.tell

    def move(self, peers, everyone):
        self.peers, self.everyone = peers, everyone
        self.numbers = {peer: number for number, peer in enumerate(peers)}

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, address):
        """Guards against datagrams of anybody's: only the controllers' own addresses are heard."""
        number = self.numbers.get(address[:2])
        if number is None or len(data) > LONGEST:
            self.log.warning("note passed over", sender=str(address[0]), bytes=len(data))
        else:
            self.host.told(number, data)

    def error_received(self, error):
        self.log.warning("note lost", why=str(error))

    def tell(self, peer, payload):
        """Sends one; None: to all. One that is too long or to nobody is a fault of ours, and told as such."""
        address = self.everyone if peer is None else self.peers[peer] if peer < len(self.peers) else None
        if not self.transport or not address or len(payload) > LONGEST:
            self.log.error("note not sent", peer=peer, bytes=len(payload))
        else:
            self.transport.sendto(payload, address)
