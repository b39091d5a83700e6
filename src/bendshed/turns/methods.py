"""What nodes and replicas call by one name: methods of the turn log, its group, owned ids.

Apart from the replicas' part, so that a node does not load that: loading it was a tenth of what a
node's start takes, and after a loss of power every caller waits for that start.
"""

TURN_METHOD = "turns.command"
PREVIEW_METHOD = "turns.preview"
QUOTA_METHOD = "turns.quota"
TURN_GROUP = 0
"""The turn log is one group today; docs/design/0003 says what more groups need."""

Owned = tuple[str, str]
"""A tenant's name (empty: nobody's) and an id that is its own: two tenants never share one."""
