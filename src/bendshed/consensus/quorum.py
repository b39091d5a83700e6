"""How many voters an election and a commit need, when some are known to be lost for good. Pure."""


def quorum_size(num_voters: int, num_survivors: int) -> int:
    """Voters that an election and a commit need.

    A majority of all voters while that many survive. With fewer, all survivors, if they meet every
    majority of the voters: then each committed entry is on one of them, and the most advanced of
    them holds all. So two voters outlive the loss of one disk, four that of two; three voters do
    not outlive two. Where that does not hold either, a majority is required, which cannot come.
    """
    majority = num_voters // 2 + 1
    if num_survivors >= majority:
        return majority
    meets_every_majority = num_survivors + majority > num_voters
    return num_survivors if meets_every_majority and num_survivors > 0 else majority
