"""The replicas' registry in the platform's store."""

from bendshed.platform import names
from bendshed.platform.objects import ObjectApi
from bendshed.platform.translate import write_replica
from bendshed.ports.registry import RegistryUnavailable, ReplicaNode, ReplicaRegistry
from bendshed.ports.store import StoreUnavailable, VersionConflict


class PlatformReplicaRegistry(ReplicaRegistry):
    """Announcements and bootstrap records, as objects of kinds that this product creates."""

    def __init__(self, api: ObjectApi) -> None:
        self._api = api

    async def announce(self, me: ReplicaNode) -> None:
        """Write or replace this machine's announcement."""
        spec = write_replica(me)
        try:
            while not await self._api.replace(names.REPLICA_KIND, me.name, spec):
                if await self._create_announcement(me.name, spec):
                    return
        except StoreUnavailable as error:
            raise RegistryUnavailable(str(error)) from error

    async def _create_announcement(self, name: str, spec: dict[str, str]) -> bool:
        """Create it; ``False``: an earlier call of ours took effect, so it is replaced next."""
        try:
            await self._api.create(names.REPLICA_KIND, name, spec)
        except VersionConflict:
            return False
        return True

    async def bootstrap_voters(self, group_id: int = 0) -> list[str]:
        """Node ids of a group's first voters."""
        try:
            found = await self._api.get(names.GROUP_KIND, names.turn_group_name(group_id))
        except StoreUnavailable as error:
            raise RegistryUnavailable(str(error)) from error
        return [str(voter) for voter in found.spec["voters"]] if found is not None else []

    async def write_bootstrap_voters(self, voters: list[str], group_id: int = 0) -> list[str]:
        """Create the bootstrap record; a lost answer is settled by reading."""
        try:
            spec = {"voters": voters}
            await self._api.create(names.GROUP_KIND, names.turn_group_name(group_id), spec)
        except VersionConflict:
            return await self.bootstrap_voters(group_id)
        except StoreUnavailable as error:
            raise RegistryUnavailable(str(error)) from error
        return voters

    async def report_retirement(self, name: str, complete: bool) -> None:
        """Write the status of a retirement."""
        status = {"state": "complete" if complete else "running"}
        try:
            await self._api.replace_status(names.RETIREMENT_KIND, name, status)
        except StoreUnavailable as error:
            raise RegistryUnavailable(str(error)) from error
