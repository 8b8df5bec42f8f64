"""Faults that the soak test injects from outside the host processes."""

import signal

import trio

FAULTS = []


def fault(inject):
    """Register a coroutine function of (environment, random generator)."""
    FAULTS.append(inject)
    return inject


@fault
async def kill_host(env, rng):
    host = rng.choice(env.hosts)
    host.end()
    await trio.sleep(rng.uniform(0.0, 1.0))
    host.start()


@fault
async def restart_host(env, rng):
    host = rng.choice(env.hosts)
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
async def pause_host(env, rng):
    host = rng.choice(env.hosts)
    since = trio.current_time()
    host.send(signal.SIGSTOP)
    await trio.sleep(rng.uniform(0.2, 4.0))
    host.send(signal.SIGCONT)
    host.pauses.append((since, trio.current_time()))


@fault
async def reload_settings(env, rng):
    rng.choice(env.hosts).send(signal.SIGHUP)
    await trio.sleep(0)


@fault
async def cut_store_connections(env, rng):
    relay = rng.choice(env.hosts).store_relay
    relay.cut()
    await trio.sleep(rng.uniform(0.2, 5.0))
    relay.restore()


@fault
async def silence_store_one_way(env, rng):
    relay = rng.choice(env.hosts).store_relay
    direction = rng.choice((relay.to_server, relay.to_client))
    direction.silence()
    await trio.sleep(rng.uniform(0.2, 5.0))
    direction.restore()


@fault
async def take_store_down(env, rng):
    env.store.down = True
    await trio.sleep(rng.uniform(0.2, 3.0))
    env.store.down = False


@fault
async def lose_store_replies(env, rng):
    env.store.lose_replies += rng.randint(1, 4)
    await trio.sleep(0)


@fault
async def compact_store_history(env, rng):
    env.store.compacted = env.store.store.revision
    await trio.sleep(0)


def restore_store(copied):
    """Return a fault: the store comes back from a copy after an outage."""

    async def inject(env, rng):
        env.store.down = True
        await trio.sleep(rng.uniform(0.1, 1.5))
        env.store.restore(copied)
        env.store.down = False

    return inject


@fault
async def reset_server_connections(env, rng):
    rng.choice(env.engine_relays).close_open()
    await trio.sleep(0)


@fault
async def silence_server_connections(env, rng):
    rng.choice(env.engine_relays).silence_open()
    await trio.sleep(0)


@fault
async def cut_server_connections(env, rng):
    relay = rng.choice(env.engine_relays)
    relay.cut()
    await trio.sleep(rng.uniform(0.2, 2.0))
    relay.restore()


@fault
async def delay_server(env, rng):
    relay = rng.choice(env.engine_relays)
    relay.to_client.delay = rng.uniform(0.05, 0.6)
    await trio.sleep(rng.uniform(0.5, 2.0))
    relay.to_client.delay = 0.0


@fault
async def drain_server(env, rng):
    number = rng.randrange(len(env.engines))
    env.register(number, 'draining')
    await trio.sleep(rng.uniform(1.0, 3.0))
    env.register(number)


@fault
async def return_faulty_answers(env, rng):
    engine = rng.choice(env.engines)
    engine.mode = rng.choice(('error', 'reject', 'cut', 'twice', 'unsigned'))
    await trio.sleep(rng.uniform(0.2, 1.5))
    engine.mode = 'by_path'


@fault
async def change_key(env, rng):
    env.keys = {f'key-{rng.randrange(10**6)}'}
    env.configure()
    await trio.sleep(0)
