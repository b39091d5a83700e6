"""What nodes and replicas call by one name: methods of the turn log, its group, owned ids.

Apart from the replicas' part, so that a node does not load that: loading it was a tenth of what a
node's start takes, and after a loss of power every caller waits for that start.
"""

TURN_METHOD = "turns.command"
PREVIEW_METHOD = "turns.preview"
QUOTA_METHOD = "turns.quota"
RUNNER_METHOD = "turns.runner"
TURN_GROUP = 0
"""The first group of the turn log: the only one where operators declare no regions."""

Owned = tuple[str, str]
"""A tenant's name (empty: nobody's) and an id that is its own: two tenants never share one."""
