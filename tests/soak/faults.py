"""Faults from outside the programs, in series and together."""

import signal

import trio

FAULTS = []


def fault(inject):
    """Register a fault: a coroutine of the stage and a random source."""
    FAULTS.append(inject)
    return inject


@fault
async def kill_a_host(stage, rng):
    host = rng.choice(stage.hosts)
    host.end()
    await trio.sleep(rng.uniform(0.0, 1.0))
    host.start()


@fault
async def restart_a_host(stage, rng):
    host = rng.choice(stage.hosts)
    if host.stopping or not host.running():
        return
    host.stopping = True
    host.send(signal.SIGTERM)
    with trio.move_on_after(4.0):
        while host.running():
            await trio.sleep(0.05)
    host.end()
    host.start()


@fault
async def pause_a_host(stage, rng):
    host = rng.choice(stage.hosts)
    since = trio.current_time()
    host.send(signal.SIGSTOP)
    await trio.sleep(rng.uniform(0.2, 4.0))
    host.send(signal.SIGCONT)
    host.pauses.append((since, trio.current_time()))


@fault
async def signal_a_reload(stage, rng):
    rng.choice(stage.hosts).send(signal.SIGHUP)
    await trio.sleep(0)


@fault
async def cut_the_store(stage, rng):
    way = rng.choice(stage.hosts).store_way
    way.cut()
    await trio.sleep(rng.uniform(0.2, 5.0))
    way.restore()


@fault
async def silence_the_store_one_way(stage, rng):
    way = rng.choice(stage.hosts).store_way
    direction = rng.choice((way.to_server, way.to_client))
    direction.silence()
    await trio.sleep(rng.uniform(0.2, 5.0))
    direction.restore()


@fault
async def take_the_store_down(stage, rng):
    stage.store.down = True
    await trio.sleep(rng.uniform(0.2, 3.0))
    stage.store.down = False


@fault
async def lose_replies_of_the_store(stage, rng):
    stage.store.lose_replies += rng.randint(1, 4)
    await trio.sleep(0)


@fault
async def forget_the_history(stage, rng):
    stage.store.compacted = stage.store.store.revision
    await trio.sleep(0)


@fault
async def reset_connections_to_a_server(stage, rng):
    rng.choice(stage.engine_ways).close_open()
    await trio.sleep(0)


@fault
async def silence_connections_to_a_server(stage, rng):
    rng.choice(stage.engine_ways).silence_open()
    await trio.sleep(0)


@fault
async def cut_a_server(stage, rng):
    way = rng.choice(stage.engine_ways)
    way.cut()
    await trio.sleep(rng.uniform(0.2, 2.0))
    way.restore()


@fault
async def delay_a_server(stage, rng):
    way = rng.choice(stage.engine_ways)
    way.to_client.delay = rng.uniform(0.05, 0.6)
    await trio.sleep(rng.uniform(0.5, 2.0))
    way.to_client.delay = 0.0


@fault
async def drain_a_server(stage, rng):
    number = rng.randrange(len(stage.engines))
    stage.register(number, 'draining')
    await trio.sleep(rng.uniform(1.0, 3.0))
    stage.register(number)


@fault
async def misbehave_for_a_while(stage, rng):
    engine = rng.choice(stage.engines)
    engine.mode = rng.choice(('error', 'reject', 'cut', 'twice', 'unsigned'))
    await trio.sleep(rng.uniform(0.2, 1.5))
    engine.mode = 'by_path'


@fault
async def change_a_key(stage, rng):
    stage.keys = {f'key-{rng.randrange(10**6)}'}
    stage.configure()
    await trio.sleep(0)
