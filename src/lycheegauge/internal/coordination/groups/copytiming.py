"""Chooses when a group may copy experts without making its streams late.

Passes take longer while experts are copied. Where the longest pass is just within
the pause that streams may make, the copy itself makes every running stream late, and
the better map then gains them nothing; where passes are too long already, only a
better map helps.
"""

COPY_SLOWDOWN = 1.15
"""Factor by which passes are longer meanwhile; engines of lock-step groups state 15 in
100."""


PRESSING_GAIN = 0.25
"""Fraction of the slowest ranks' part that a switch must save to be made at a bad time:
such a shift of demand is only half seen in the counts yet, and passes will soon be
over the target without it."""


def may_copy(longest_pass_s: float | None, target_gap_s: float) -> bool:
    """Tells whether a copy would not push passes over the target.

    Args:
        longest_pass_s: The longest pass of late; ``None`` if nobody measured any.
        target_gap_s: The longest pause of a stream that is on time.
    """
    if longest_pass_s is None or longest_pass_s > target_gap_s:
        return True
    return longest_pass_s * COPY_SLOWDOWN <= target_gap_s
