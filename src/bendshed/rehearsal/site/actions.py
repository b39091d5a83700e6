"""What a search may do to a simulated site."""

from enum import StrEnum


class Action(StrEnum):
    """Kinds of steps; a written trace holds these texts."""

    ADVANCE = "advance"
    START_PROGRAM = "start program"
    START_LOOP = "start a program that loops"
    CONTINUE_TURN = "continue a turn of another program"
    CONTINUE_FOREIGN = "continue a turn of another tenant"
    FLOOD = "a tenant asks for more than it may have"
    START_GUEST = "start a program of a tenant whose key may be removed"
    REMOVE_GUEST = "remove that tenant's key"
    HEAL = "heal"
    RESTART = "restart"
    KILL_FRONT = "kill a front"
    KILL_STORE = "kill a store"
    KILL_LEADER = "kill the leader"
    WIPE_STORE = "wipe a store's disk"
    WIPE_LEADER = "wipe the leader's disk"
    REPLACE_STORE = "replace a store by an empty one at another address"
    WIPE_IN_THE_DARK = "wipe a store's disk while all lose power"
    POWER_OFF_ALL = "power off all"
    PAUSE_FRONT = "pause a front"
    PAUSE_STORE = "pause a store"
    RESUME = "resume"
    ISOLATE_STORE = "isolate a store"
    CUT_ONE_WAY = "cut a store one way"
    SPLIT_STORES = "split the stores in halves"
    SPLIT_REGIONS = "cut the regions off from each other"
    KILL_REGION_LEADER = "kill the leader of one of the groups"
    START_HALVES = "start a program that loops in both regions"
    CUT_FRONT_FROM_STORES = "cut a front from the stores"
    SLOW_NETWORK = "slow network"
    LOSSY_NETWORK = "lossy network"
    CLIENT_LEAVES = "a client leaves"
    FULL_DISK = "full disk"
    RETIRE_STORE = "retire a store"
    REGISTRY_DOWN = "metadata store down"
    REGISTRY_LOSES = "metadata store loses answers"
    REGISTRY_UP = "metadata store up"
    LOSE_ANSWERS = "runner loses answers"
    CUT_ANSWERS = "runner cuts answers"
    SHED = "runner sheds"
    SLOW_RUNNER = "slow runner"
    REPLACE_RUNNER = "runner dies and is replaced"
    RUNNER_LEAVES = "runner leaves"
    COOL_RUNNER = "runner turns cold again"
    COOL_SERVICE = "all runners turn cold"
    CONFIGURATION = "configuration changes"
    PLANNED_STOP = "planned stop of a front"
    CLOSE_ZONE = "operators close a zone"
    OPEN_ZONES = "operators open all zones"
    CLOSE_ZONE_IN_THE_DARK = "all start with a closed zone while the metadata store is down"
    START_STREAMS = "start programs that resume their streams"
    START_UNNAMED_STREAMS = "start programs that resume streams without naming them"
    POWER_OFF_FRONTS = "all fronts lose power at once"
    RELEASE = "a runner of another version takes the place of one"
    CUT_STREAMS = "all runners cut streams"
    RESTART_RUNNER = "a runner starts again under its id with another version"
    RESTART_RUNNERS = "all runners start again under their ids"
    START_FATAL = "start a program with a request under which runners end"
    RESTART_ENDED = "runners that end are replaced, start again under their ids, or fall silent"
    RETURN_LATE = "a client returns just before a turn's retention is over"
    CHANGE_TIMEOUT = "operators change the time-out of turns"


CALM = (Action.ADVANCE, Action.START_PROGRAM, Action.HEAL, Action.RESTART, Action.RESUME)
BETWEEN_REGIONS = (Action.SPLIT_REGIONS, Action.KILL_REGION_LEADER, Action.START_HALVES)
"""What only a site of several regions knows."""
OF_STREAMS = (Action.START_STREAMS, Action.RELEASE, Action.CUT_STREAMS)
"""What only searches with resumed streams draw, so that the others keep their worlds."""
OF_UNNAMED = (Action.START_UNNAMED_STREAMS, Action.POWER_OFF_FRONTS)
"""What only searches draw whose clients do not name the streams that they take up again."""
OF_RESTARTS = (Action.RESTART_RUNNER, Action.RESTART_RUNNERS)
"""What only searches with restarts draw."""
OF_RETURNS = (Action.RETURN_LATE,)
"""What only searches with late returns draw: each takes up to the retention."""
OF_ROUTES = (Action.CHANGE_TIMEOUT,)
"""What only searches with changed routes draw."""
OF_FATAL = (Action.START_FATAL, Action.RESTART_ENDED)
"""What only searches with requests that end runners draw."""
OF_REGIONS = tuple(
    action
    for action in Action
    if action not in (*OF_STREAMS, *OF_UNNAMED, *OF_RESTARTS, *OF_RETURNS, *OF_ROUTES, *OF_FATAL)
)
WITHIN_A_REGION = tuple(action for action in OF_REGIONS if action not in BETWEEN_REGIONS)
