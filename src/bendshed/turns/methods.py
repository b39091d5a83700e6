"""Definitions that nodes and replica machines share: RPC methods of the turn log and key types.

They are kept out of the replica machines' modules so that a node does not import those. This saves
a tenth of a node's startup time, for which every caller waits after a power loss.
"""

TURN_METHOD = "turns.command"
PREVIEW_METHOD = "turns.preview"
QUOTA_METHOD = "turns.quota"
RUNNER_METHOD = "turns.runner"
TURN_GROUP = 0
"""First group of the turn log, and the only one if operators declare no regions."""

TenantScopedId = tuple[str, str]
"""A tenant's name (empty: none) and a program or turn id, so that tenants never share an entry."""
