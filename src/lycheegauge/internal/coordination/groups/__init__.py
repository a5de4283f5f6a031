"""Coordinates expert-parallel groups: step permits, engine orders, placement."""
