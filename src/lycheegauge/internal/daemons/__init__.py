"""Daemons: thin tasks that connect the other layers into processes."""
