"""Intervals, timeouts and limits of the membership protocol."""

PROBE_INTERVAL_S = 1.0
"""Mean time between two probes by a host, in seconds: docs/design/21."""

PROBE_TIMEOUT_S = 0.4
"""Time to wait for the ack of a direct probe, in seconds: docs/design/21."""

INDIRECT_PROBES = 3
"""Hosts asked for an indirect probe after a timeout: docs/design/21."""

INDIRECT_PROBE_TIMEOUT_S = 0.8
"""Time to wait for the ack of an indirect probe, in seconds: twice that of a
direct probe."""

SUSPICION_TIMEOUT_S = 3.0
"""Time after which a suspect member is declared dead, in seconds:
docs/design/21."""

SUSPICION_CHECK_S = 0.5
"""Time between two checks for expired suspicions, in seconds: half a probe
interval."""

PAUSE_THRESHOLD_S = 1.5
"""Time between two checks above which this host considers itself to have been
paused, in seconds: three checks."""

INTERVALS_PER_UNREACHABLE_PROBE = 5
"""Probe intervals between two probes of unreachable hosts: docs/design/21."""

PUSH_FANOUT = 6
"""Hosts that a change is pushed to in one round: docs/design/21."""

MAX_PUSHES_PER_SECOND = 5.0
MAX_PUSH_BURST = 20.0
"""Push rounds a second, and burst after an idle time; they bound the control
traffic in bytes: docs/design/21."""

PUSH_COALESCE_S = 0.01
"""Time for which changes are collected for one push round, in seconds; short
compared to the 8 s in which a change must take effect."""

JOIN_GRACE_S = 5.0
"""Time after the start in which peers may still send entries of an earlier
incarnation of this host, in seconds: PROBE_INTERVAL_S and
SUSPICION_TIMEOUT_S, plus a margin of one second."""

SEEDS_PER_JOIN = 3
JOIN_RETRY_S = 0.5
"""Seeds contacted in one round until a peer is known, and the first delay
between two rounds, in seconds."""

MAX_DIGEST_MISMATCHES = 3
MIN_VIEW_FETCH_INTERVAL_S = 5.0
"""Consecutive messages with a different view digest after which a view is
fetched, and the minimum time between two fetches, in seconds:
docs/design/21."""
