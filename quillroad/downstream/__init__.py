"""The client side.

Listener, connections, request parser, responses, and which connections there may be.
"""
