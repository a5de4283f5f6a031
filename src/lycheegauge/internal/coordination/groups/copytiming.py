"""Decides when a group may copy experts without delaying its streams.

Passes take longer while experts are copied. When the longest pass only just meets the
target for the gap between events, the copy itself makes every running stream miss it,
and these streams gain nothing from the better map. When passes exceed the target
already, only a better map helps.
"""

COPY_SLOWDOWN = 1.15
"""Factor by which passes are longer during a copy; engines of lock-step groups specify
15 in 100."""


URGENT_SWITCH_GAIN = 0.25
"""Fraction of the slowest ranks' time that a switch must save to be made although the
copy delays streams. The counts so far reflect only half of such a shift of demand, and
without the switch passes would soon exceed the target."""


def may_copy(longest_pass_s: float | None, target_gap_s: float) -> bool:
    """Tells whether passes stay within the target during a copy.

    Args:
        longest_pass_s: The longest recent pass; ``None`` if none was measured.
        target_gap_s: The longest gap between events that meets the target.
    """
    if longest_pass_s is None or longest_pass_s > target_gap_s:
        return True
    return longest_pass_s * COPY_SLOWDOWN <= target_gap_s
