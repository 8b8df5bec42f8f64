"""Keys of the gateway's declarations and registrations in the store."""

import collections.abc
import dataclasses

from corianderloft._internal.models import instances
from corianderloft._internal.models import members
from corianderloft._internal.models import routing


@dataclasses.dataclass(frozen=True)
class StoreLayout:
    """Keys in the store, with encoders and decoders of their values.

    Attributes
    ----------
    configuration_key : str
        Key of the declarations.
    instances_prefix, hosts_prefix, crashes_prefix : str
        Key prefixes of the entries of backend servers, entry hosts and prompt
        parts that crash servers; the ID follows.
    decode_table, decode_instance, decode_member : callable
        Decode a value; return None if it is malformed.
    encode_member : callable
        Encodes the entry of this host.
    duties_prefix : str
        Key prefix of the lease for the duties, and of their records.
    """

    configuration_key: str
    instances_prefix: str
    hosts_prefix: str
    crashes_prefix: str
    decode_table: collections.abc.Callable[
        [bytes], routing.RoutingTable | None
    ]
    decode_instance: collections.abc.Callable[
        [str, bytes], instances.Instance | None
    ]
    decode_member: collections.abc.Callable[
        [str, bytes], members.Member | None
    ]
    encode_member: collections.abc.Callable[[members.Member], bytes]
    duties_prefix: str
