"""Responses to one request."""

from corianderloft._internal.network import exchange

SCOPE = {
    'method': 'GET',
    'path': '/',
    'raw_path': b'/',
    'query_string': b'',
    'headers': [],
    'http_version': '1.1',
}


async def test_a_second_response_is_not_added_to_one_that_has_started():
    sent = []

    async def send(message):
        sent.append(message)

    http = exchange.Exchange(SCOPE, None, send)
    await http.start(200, [])
    await http.send_events(b'id: 1\n\n')
    await http.respond_raw(404, [], b'no such event')
    assert [message['type'] for message in sent] == [
        'http.response.start',
        'http.response.body',
    ]
