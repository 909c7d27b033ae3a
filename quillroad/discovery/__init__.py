"""Discovery: which hosts there are.

Sources (the platform, Consul, a file) tell of instances; one reducer turns what they tell into
endpoint lists for the engine. `instance`, `reducer`, `platform_list`, `freshness`, `poll_schedule`
and the rules under `consul/` (`index`, `health`, `agents`, `merge`, `register`) decide and do no
I/O; the sources are the sides towards the network and files. Nothing here knows of requests.
"""
