"""Quorum size when some voters are known to be lost permanently. No I/O."""


def quorum_size(num_voters: int, num_survivors: int) -> int:
    """Number of voters that an election and a commit need.

    A majority of all voters while that many survive. With fewer survivors, all of them, provided
    that they intersect every majority of the voters: then each committed entry is on at least one
    of them, and the most advanced holds all. So two voters survive the loss of one disk and four
    that of two, but three do not survive two. If the survivors do not intersect every majority, a
    majority is required, which is then unreachable.
    """
    majority = num_voters // 2 + 1
    if num_survivors >= majority:
        return majority
    meets_every_majority = num_survivors + majority > num_voters
    return num_survivors if meets_every_majority and num_survivors > 0 else majority
