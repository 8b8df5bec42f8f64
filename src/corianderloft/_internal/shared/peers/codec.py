"""Encodes and decodes messages; the only parser of bytes from peers."""

import collections.abc
import pathlib
import typing

import capnp

from corianderloft._internal.metrics import registry
from corianderloft._internal.models import ids
from corianderloft._internal.models import states
from corianderloft._internal.shared import interface
from corianderloft._internal.shared import mirror
from corianderloft._internal.shared.peers import keys
from corianderloft._internal.shared.peers import messages

_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name('messages.capnp')))
_STATES = (
    states.HostState.LIVE,
    states.HostState.LEAVING,
    states.HostState.SUSPECT,
    states.HostState.DEAD,
)
_STATE_NUMBERS = {state: number for number, state in enumerate(_STATES)}

DISCARDED = registry.counter(
    'peer_messages_thrown_away', 'Messages of peers that were not used.'
)

T = typing.TypeVar('T')


class Codec:
    """Encodes, signs, verifies and decodes messages.

    Parameters
    ----------
    ring : KeyRing
        Keys that the hosts share.
    """

    def __init__(self, ring: keys.KeyRing) -> None:
        self._ring = ring

    def encode_datagram(self, message: messages.Datagram) -> bytes:
        """Encode and sign a datagram."""
        built = _SCHEMA.Datagram.new_message(
            kind=message.kind.value,
            sender=message.sender,
            incarnation=message.incarnation,
            sequence=message.sequence,
            target=message.target,
            configuration=message.configuration,
            platform=message.platform,
            verifiedAge=message.verified_age,
            viewDigest=message.view_digest,
            members=[_member_fields(host) for host in message.members],
            notes=[
                {'engineId': note.engine_id, 'age': note.age}
                for note in message.notes
            ],
        )
        return self._sign_and_pack(built)

    def decode_datagram(
        self, raw: bytes
    ) -> messages.Datagram | messages.Undecodable:
        """Return the datagram in ``raw``, or why it was discarded."""
        return self._verify_and_read(raw, _read_datagram)

    def encode_fetch(self, fetch: messages.Fetch) -> bytes:
        """Encode and sign a fetch."""
        return self._sign_and_pack(
            _SCHEMA.Fetch.new_message(
                kind=fetch.kind.value,
                nonce=fetch.nonce,
                revision=fetch.revision,
            )
        )

    def decode_fetch(
        self, raw: bytes
    ) -> messages.Fetch | messages.Undecodable:
        """Return the fetch in ``raw``, or why it was discarded."""
        return self._verify_and_read(raw, _read_fetch)

    def encode_page(self, page: messages.Page) -> bytes:
        """Encode and sign a page of a response."""
        fetched = page.fetched
        return self._sign_and_pack(
            _SCHEMA.Page.new_message(
                nonce=page.nonce,
                revision=fetched.delta.revision,
                whole=fetched.delta.is_snapshot,
                more=page.more,
                entries=[_entry_fields(e) for e in fetched.delta.entries],
                members=[_member_fields(host) for host in fetched.members],
            )
        )

    def decode_page(self, raw: bytes) -> messages.Page | messages.Undecodable:
        """Return the page in ``raw``, or why it was discarded."""
        return self._verify_and_read(raw, _read_page)

    def _sign_and_pack(self, built: typing.Any) -> bytes:
        body = built.to_bytes_packed()
        envelope = _SCHEMA.Envelope.new_message(
            keyId=self._ring.signing_id,
            digest=self._ring.sign(body),
            body=body,
        )
        packed: bytes = envelope.to_bytes_packed()
        return packed

    def _verify_and_read(
        self, raw: bytes, read: collections.abc.Callable[[bytes], T]
    ) -> T | messages.Undecodable:
        try:
            envelope = _SCHEMA.Envelope.from_bytes_packed(raw)
            body = envelope.body
            if not self._ring.has_key(envelope.keyId):
                return _discard(messages.DecodeFault.UNKNOWN_KEY)
            if not self._ring.verify(envelope.keyId, envelope.digest, body):
                return _discard(messages.DecodeFault.WRONG_DIGEST)
            return read(body)
        except (capnp.KjException, ValueError, IndexError):
            return _discard(messages.DecodeFault.MALFORMED)


def _discard(fault: messages.DecodeFault) -> messages.Undecodable:
    DISCARDED.inc({'reason': fault.value})
    return messages.Undecodable(fault)


def _member_fields(host: interface.Host) -> dict[str, typing.Any]:
    return {
        'hostId': host.host_id,
        'incarnation': host.incarnation,
        'address': host.address,
        'callerPort': host.caller_port,
        'peerPort': host.peer_port,
        'failureDomain': host.failure_domain,
        'state': _STATE_NUMBERS[host.state],
    }


def _entry_fields(entry: mirror.Entry) -> dict[str, typing.Any]:
    return {
        'key': entry.key,
        'value': entry.value or b'',
        'revision': entry.revision,
        'removed': entry.value is None,
    }


def _read_member(read: typing.Any) -> interface.Host:
    return interface.Host(
        ids.HostId(read.hostId),
        ids.Incarnation(read.incarnation),
        read.address,
        read.callerPort,
        read.peerPort,
        ids.FailureDomain(read.failureDomain),
        _STATES[read.state],
    )


def _read_entry(read: typing.Any) -> mirror.Entry:
    return mirror.Entry(
        read.key,
        None if read.removed else read.value,
        ids.Revision(read.revision),
    )


def _read_datagram(body: bytes) -> messages.Datagram:
    read = _SCHEMA.Datagram.from_bytes_packed(body)
    return messages.Datagram(
        messages.DatagramKind(read.kind),
        ids.HostId(read.sender),
        ids.Incarnation(read.incarnation),
        read.sequence,
        ids.HostId(read.target),
        ids.Revision(read.configuration),
        ids.Revision(read.platform),
        read.verifiedAge,
        read.viewDigest,
        tuple(_read_member(member) for member in read.members),
        tuple(
            messages.BackendNote(ids.EngineId(note.engineId), note.age)
            for note in read.notes
        ),
    )


def _read_fetch(body: bytes) -> messages.Fetch:
    read = _SCHEMA.Fetch.from_bytes_packed(body)
    return messages.Fetch(
        messages.FetchKind(read.kind),
        read.nonce,
        ids.Revision(read.revision),
    )


def _read_page(body: bytes) -> messages.Page:
    read = _SCHEMA.Page.from_bytes_packed(body, traversal_limit_in_words=2**27)
    delta = mirror.Delta(
        ids.Revision(read.revision),
        tuple(_read_entry(entry) for entry in read.entries),
        read.whole,
    )
    members = tuple(_read_member(member) for member in read.members)
    return messages.Page(
        read.nonce, messages.Fetched(delta, members), read.more
    )
