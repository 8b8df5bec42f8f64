"""How often hosts probe each other, and how long they wait."""

PERIOD_S = 1.0
"""Mean time between two probes of a host, in seconds: docs/design/21."""

PROBE_TIMEOUT_S = 0.4
"""Time in which a probed host answers, in seconds: docs/design/21."""

HELPERS = 3
"""Hosts that probe in place of one that got no answer: docs/design/21."""

HELPED_TIMEOUT_S = 0.8
"""Time in which one of them passes on an answer, in seconds: twice that of a
probe."""

SUSPICION_S = 3.0
"""Time after which a suspect counts as dead, in seconds: docs/design/21."""

TICK_S = 0.5
"""Time between two looks at the suspects, in seconds: half a period."""

PAUSE_S = 1.5
"""Time between two looks from which this host itself counts as paused, in
seconds: three looks."""

LOST_PROBE_EVERY = 5
"""Periods between two probes of hosts held for dead: docs/design/21."""

FANOUT = 6
"""Hosts that are told of a change at once: docs/design/21."""

PUSHES_PER_SECOND = 5.0
PUSH_BURST = 20.0
"""Rounds of such news a second, and at once after a quiet time; bound the
bytes for control: docs/design/21."""

COALESCE_S = 0.01
"""Time in which changes are gathered for one round, in seconds; short beside
the 8 s for a change."""

JOIN_S = 5.0
"""Time after the start in which older entries of this host may still be
about, in seconds: PERIOD_S and SUSPICION_S, and one second to spare."""

JOIN_PEERS = 3
JOIN_PAUSE_S = 0.5
"""Seeds that are asked in one round for the first contact, and the first
pause between two rounds in seconds."""

DISAGREEMENTS = 3
VIEW_FETCH_PAUSE_S = 5.0
"""Different views in a row after which a view is fetched, and the least time
between two fetches in seconds: docs/design/21."""
