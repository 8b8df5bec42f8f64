"""Log lines about the sends of a request."""

from tests.lib import gateway


async def test_failed_sends_name_the_shared_parts_and_what_arrived(caplog):
    caplog.set_level('INFO')
    headers = [
        ('Corianderloft-Token-Usage', '900,80'),
        ('Corianderloft-Prefix-Hash', 'a1:500,b2:300,c3:100'),
    ]
    async with gateway.running(('reset',)) as system:
        await system.request('POST', '/chat/1', headers=headers)
        system.engines[0].mode = 'cut_stream'
        await system.request('POST', '/chat/1', headers=headers)
    failed = [r for r in caplog.records if r.message == 'send failed']
    assert [r.parts for r in failed] == [['a1', 'b2']] * 2
    assert [r.received for r in failed] == ['nothing', 'content']


async def test_a_response_that_ends_early_is_logged_as_closed(caplog):
    caplog.set_level('INFO')
    async with gateway.running(('reset',)) as system:
        await system.request('POST', '/book/1')
        system.engines[0].mode = 'cut'
        await system.request('POST', '/book/1')
    failed = [r for r in caplog.records if r.message == 'send failed']
    assert [r.cause.split(':')[0] for r in failed] == ['closed'] * 2


async def test_limits_that_servers_name_are_logged(caplog):
    caplog.set_level('INFO')
    async with gateway.running(('whole',)) as system:
        for limit in ('2.5', '2.5', 'many', ''):
            system.engines[0].rate_limit = limit
            await system.request('POST', '/book/1')
    changes = [
        (r.limit_per_s, r.before_per_s, r.sent_here)
        for r in caplog.records
        if r.message == 'limit of a backend server changed'
    ]
    assert changes == [(2.5, None, 1), (None, 2.5, 3)]
