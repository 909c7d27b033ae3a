"""The client side: listener, connections, request parser, responses, and which connections there
may be.
"""
