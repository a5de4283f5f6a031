"""A randomised soak test of the forwarding deployment; see docs/soak.md."""
