"""Which hosts there are: sources that tell of them, and the one reducer that turns what they tell into lists.

`instance`, `reduce` and the rules under `consul/` (`index`, `health`, `agents`) decide and do no I/O; sources
are the sides towards the network and files. Nothing here knows of requests.
"""
