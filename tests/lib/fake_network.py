"""In-memory network with loss, delay, reordering, duplicates and cuts."""

import math

import trio

from corianderloft._internal.shared.peers import messages

FETCH_TIMEOUT_S = 5.0


class FakeNetwork:
    """Delivers the messages of one test.

    Attributes
    ----------
    loss, duplicates : float
        Fractions of datagrams that are lost or sent twice.
    delay : float
        Maximum delay of a datagram in seconds; delays are random, so
        datagrams are reordered.
    cuts : set
        Pairs of source and destination addresses that are cut off.
    paused : dict
        Events by address of a paused host, set when it resumes.
    sent : list
        All datagrams, so that tests can deliver old ones again.
    """

    def __init__(self, nursery, rng):
        self.nursery = nursery
        self.rng = rng
        self.loss = 0.0
        self.duplicates = 0.0
        self.delay = 0.01
        self.cuts = set()
        self.paused = {}
        self.transports = {}
        self.sent = []

    def transport(self, ip, port):
        """Return a transport that replaces any older one at the address."""
        made = FakeTransport(self, messages.Address(ip, port))
        self.transports[made.address] = made
        return made

    def cut(self, sources, destinations):
        """Block messages from some addresses to others, in one direction."""
        self.cuts |= {(a, b) for a in sources for b in destinations if a != b}

    def pause(self, address):
        self.paused[address] = trio.Event()

    def resume(self, address):
        self.paused.pop(address).set()

    async def wait_running(self, address):
        while address in self.paused:
            await self.paused[address].wait()

    def can_pass(self, source, to):
        return (source, to) not in self.cuts and to in self.transports

    async def deliver(self, source, to, message, delay):
        await trio.sleep(delay)
        if self.can_pass(source, to):
            await self.transports[to].queue.send((source, message))


class FakeTransport:
    """Implements `transport.Transport` over a `FakeNetwork`."""

    def __init__(self, network, address):
        self.address = address
        self.network = network
        self.queue, self._received = trio.open_memory_channel(math.inf)
        self.answer = None

    async def send(self, to, message):
        network = self.network
        await network.wait_running(self.address)
        network.sent.append((self.address, to, message))
        copies = 1 + (network.rng.random() < network.duplicates)
        for _ in range(copies):
            if network.rng.random() >= network.loss:
                network.nursery.start_soon(
                    network.deliver,
                    self.address,
                    to,
                    message,
                    network.rng.uniform(0, network.delay),
                )

    async def receive(self):
        item = await self._received.receive()
        await self.network.wait_running(self.address)
        return item

    async def fetch(self, to, fetch):
        network = self.network
        await network.wait_running(self.address)
        with trio.move_on_after(FETCH_TIMEOUT_S):
            await trio.sleep(network.rng.uniform(0, network.delay))
            await network.wait_running(to)
            peer = network.transports.get(to)
            both = network.can_pass(self.address, to) and network.can_pass(
                to, self.address
            )
            if peer is None or peer.answer is None:
                return messages.FetchFailed('refused')
            if not both:
                await trio.sleep(math.inf)
            fetched = peer.answer(fetch)
            await trio.sleep(network.rng.uniform(0, network.delay))
            return fetched
        return messages.FetchFailed('timeout')

    async def serve(self, answer):
        self.answer = answer
        try:
            await trio.sleep(math.inf)
        finally:
            self.answer = None
