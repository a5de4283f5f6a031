"""Typed messages, their codec and the models that validate external input."""
