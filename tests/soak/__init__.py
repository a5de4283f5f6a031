"""A randomised soak of the forwarding deployment; see docs/soak.md."""
