"""Names that nodes and replica machines share: methods of the turn log, its first group, owned ids.

They are apart from the replica machines' modules, so that a node does not load those. That saves a
tenth of a node's start, for which every caller waits after a loss of power.
"""

TURN_METHOD = "turns.command"
PREVIEW_METHOD = "turns.preview"
QUOTA_METHOD = "turns.quota"
RUNNER_METHOD = "turns.runner"
TURN_GROUP = 0
"""The first group of the turn log: the only one where operators declare no regions."""

TenantScopedId = tuple[str, str]
"""A tenant's name (empty: none) and an id of a program or turn: tenants never share an entry."""
