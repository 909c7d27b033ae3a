"""The engine: feeds events to the balancer, performs its actions and tracks open requests."""
