"""Private implementation; it may change in any release."""
