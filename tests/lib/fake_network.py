"""Network in memory: loss, delay, reordering, duplicates, cuts, pauses."""

import math

import trio

from corianderloft._internal.shared.peers import messages

FETCH_TIMEOUT_S = 5.0


class FakeNetwork:
    """Carries the messages of one test.

    Attributes
    ----------
    loss, duplicates : float
        Parts of the datagrams.
    delay : float
        Longest delay of a datagram in seconds; delays differ, so datagrams
        overtake each other.
    cuts : set
        Pairs of addresses, from and to, between which nothing passes.
    paused : dict
        Addresses of paused hosts, with an event for their return.
    sent : list
        All datagrams, for late delivery of old ones.
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
        """Return a transport; it takes the place of an older one."""
        made = FakeTransport(self, messages.Address(ip, port))
        self.transports[made.address] = made
        return made

    def cut(self, froms, tos):
        """Cut one direction."""
        self.cuts |= {(a, b) for a in froms for b in tos if a != b}

    def pause(self, address):
        self.paused[address] = trio.Event()

    def resume(self, address):
        self.paused.pop(address).set()

    async def running(self, address):
        while address in self.paused:
            await self.paused[address].wait()

    def passes(self, source, to):
        return (source, to) not in self.cuts and to in self.transports

    async def deliver(self, source, to, message, delay):
        await trio.sleep(delay)
        if self.passes(source, to):
            await self.transports[to].queue.send((source, message))


class FakeTransport:
    """`transport.Transport` over a `FakeNetwork`."""

    def __init__(self, network, address):
        self.address = address
        self.network = network
        self.queue, self._received = trio.open_memory_channel(math.inf)
        self.answer = None

    async def send(self, to, message):
        network = self.network
        await network.running(self.address)
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
        await self.network.running(self.address)
        return item

    async def fetch(self, to, fetch):
        network = self.network
        await network.running(self.address)
        with trio.move_on_after(FETCH_TIMEOUT_S):
            await trio.sleep(network.rng.uniform(0, network.delay))
            await network.running(to)
            peer = network.transports.get(to)
            both = network.passes(self.address, to) and network.passes(
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
