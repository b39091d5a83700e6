"""Replica registry, stored in the platform's metadata store."""

from bendshed.platform import names
from bendshed.platform.objects import ObjectApi
from bendshed.platform.translate import write_replica
from bendshed.ports.registry import RegistryUnavailable, ReplicaNode, ReplicaRegistry
from bendshed.ports.store import StoreUnavailable, VersionConflict


class PlatformReplicaRegistry(ReplicaRegistry):
    """Stores announcements and bootstrap records as objects of this product's own kinds."""

    def __init__(self, api: ObjectApi) -> None:
        self._api = api

    async def announce(self, node: ReplicaNode) -> None:
        """Write or replace this machine's announcement."""
        spec = write_replica(node)
        try:
            while not await self._api.replace(names.REPLICA_KIND, node.name, spec):
                if await self._create_announcement(node.name, spec):
                    return
        except StoreUnavailable as error:
            raise RegistryUnavailable(str(error)) from error

    async def _create_announcement(self, name: str, spec: dict[str, str]) -> bool:
        """Create it; ``False`` if it exists since an earlier call took effect: replace it then."""
        try:
            await self._api.create(names.REPLICA_KIND, name, spec)
        except VersionConflict:
            return False
        return True

    async def bootstrap_voters(self, group_id: int = 0) -> list[str]:
        """Read the node ids of a group's initial voters."""
        try:
            record = await self._api.get(names.GROUP_KIND, names.turn_group_name(group_id))
        except StoreUnavailable as error:
            raise RegistryUnavailable(str(error)) from error
        return [str(voter) for voter in record.spec["voters"]] if record is not None else []

    async def write_bootstrap_voters(self, voters: list[str], group_id: int = 0) -> list[str]:
        """Create the bootstrap record; if one exists, return its voters instead."""
        try:
            spec = {"voters": voters}
            await self._api.create(names.GROUP_KIND, names.turn_group_name(group_id), spec)
        except VersionConflict:
            return await self.bootstrap_voters(group_id)
        except StoreUnavailable as error:
            raise RegistryUnavailable(str(error)) from error
        return voters

    async def report_retirement(self, name: str, complete: bool) -> None:
        """Write a retirement's status."""
        status = {"state": "complete" if complete else "running"}
        try:
            await self._api.replace_status(names.RETIREMENT_KIND, name, status)
        except StoreUnavailable as error:
            raise RegistryUnavailable(str(error)) from error
