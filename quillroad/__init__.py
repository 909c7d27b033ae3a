"""An HTTP gateway: sockets in and out round the decisions of `quillroad.balancing`.

`quillroad.gateway` wires the parts of one gateway, `quillroad.start` starts its process.
"""
