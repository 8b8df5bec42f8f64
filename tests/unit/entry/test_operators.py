"""Tests of the operator port."""

import pytest
import trio

from tests.lib import engines
from tests.lib import entry


def _headers(token: str) -> dict[str, str]:
    return {'Authorization': f'Bearer {token}'}


@pytest.mark.parametrize(
    ('method', 'path', 'token', 'status'),
    [
        ('GET', '/healthz', 'none', 200),
        ('GET', '/metrics', 'none', 401),
        ('GET', '/metrics', 'key-stables', 401),
        ('GET', '/metrics', entry.VIEWER_TOKEN, 200),
        ('GET', '/v1/status', entry.VIEWER_TOKEN, 200),
        ('GET', '/v1/requests/x', entry.VIEWER_TOKEN, 404),
        ('GET', '/x', entry.VIEWER_TOKEN, 404),
        ('POST', '/v1/drain', entry.VIEWER_TOKEN, 403),
        ('POST', '/v1/drain', 'none', 401),
        ('POST', '/x', entry.OPERATOR_TOKEN, 404),
    ],
)
async def test_roles_are_enforced(
    method: str, path: str, token: str, status: int
) -> None:
    async with entry.running_host() as fixture:
        answer = await entry.call(
            fixture.operators_url + path, method, headers=_headers(token)
        )
    assert answer.status == status
    if status >= 400:
        assert answer.refusal()[1] == 'not_run'


async def test_operator_pages_are_not_served_on_the_caller_port() -> None:
    async with entry.running_host() as fixture:
        for path in ('/metrics', '/v1/status', '/v1/drain'):
            answer = await entry.call(
                fixture.url + path,
                'GET',
                headers=_headers(entry.OPERATOR_TOKEN),
            )
            assert answer.status == 404


async def test_request_is_explained(nursery: trio.Nursery) -> None:
    _, one = await engines.start(nursery, 'e1', engines.dies_after(5))
    _, two = await engines.start(nursery, 'e2', engines.serves)
    async with entry.running_host(one, two) as fixture:
        await entry.chat(fixture, X_Request_Id='r1')
        headers = _headers(entry.VIEWER_TOKEN)
        url = fixture.operators_url + '/v1/requests/r1'
        with trio.fail_after(10):
            while True:
                answer = await entry.call(url, 'GET', headers=headers)
                record = answer.json()['requests'][0]
                if record['outcome'] != 'running':
                    break
        page = await entry.call(
            fixture.operators_url + '/metrics', 'GET', headers=headers
        )
    assert record['workspace'] == 'stables'
    assert record['outcome'] == 'answered'
    assert record['tokens'] == engines.TOKENS
    tries = [(item['engine_id'], item['end']) for item in record['tries']]
    assert tries == [('e1', 'connection_lost'), ('e2', 'complete')]
    assert b'corianderloft_retries_total{reason="connection_lost"}' in (
        page.body
    )


async def test_tokens_of_a_whole_response_are_counted(
    nursery: trio.Nursery,
) -> None:
    _, one = await engines.start(nursery, 'e1', engines.serves)
    async with entry.running_host(one) as fixture:
        answer = await entry.call(
            fixture.url + '/v1/chat/completions',
            body={**entry.BODY, 'stream': False},
            headers=entry.headers_of('stables', X_Request_Id='r1'),
        )
        assert answer.status == 200
        url = fixture.operators_url + '/v1/requests/r1'
        found = await entry.call(
            url, 'GET', headers=_headers(entry.VIEWER_TOKEN)
        )
    (record,) = found.json()['requests']
    usage = answer.json()['usage']
    assert record['tokens'] == usage['completion_tokens'] > 0


async def test_number_of_explained_requests_is_limited(
    nursery: trio.Nursery,
) -> None:
    _, one = await engines.start(nursery, 'e1', engines.serves)
    few = {'explained_requests': 2}
    async with entry.running_host(one, operators=few) as fixture:
        for number in range(3):
            await entry.chat(fixture, X_Request_Id=f'r{number}')
        statuses = [
            (
                await entry.call(
                    f'{fixture.operators_url}/v1/requests/r{number}',
                    'GET',
                    headers=_headers(entry.VIEWER_TOKEN),
                )
            ).status
            for number in range(3)
        ]
    assert statuses == [404, 200, 200]
