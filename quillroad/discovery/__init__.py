"""Service discovery: the hosts that requests can be sent to.

Sources (the platform's discovery service, Consul, the configuration file) report instances; the
reducer turns their lists into endpoint updates for the engine. The platform's lists are read by
`platform_list` instead. `instance`, `reducer`, `platform_list`, `freshness`, `poll_schedule` and,
under `consul/`, `index`, `health`, `agents`, `merge` and `register` do no I/O; the sources access
the network and files. This package does not depend on requests.
"""
