"""The client (downstream) side of the gateway.

Listener, client connections, request parser, responses and the limit on client connections.
"""
