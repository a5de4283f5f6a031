"""Load balancer for expert-parallel model groups and the plain services beside them."""
