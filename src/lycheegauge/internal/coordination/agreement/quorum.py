"""Majority calculations."""

import collections.abc


def count_quorum(voters: int) -> int:
    """Returns the size of a majority of ``voters``."""
    return voters // 2 + 1


def count_voters(losses: int) -> int:
    """Returns how many voters still have a majority after ``losses`` of them fail."""
    return 2 * losses + 1


def find_quorum_value(values: collections.abc.Iterable[int]) -> int:
    """Returns the largest value that a majority of voters has reached.

    Args:
        values: One value per voter; must not be empty.
    """
    ordered = sorted(values, reverse=True)
    return ordered[count_quorum(len(ordered)) - 1]
