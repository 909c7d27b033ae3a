"""An HTTP/1.1 gateway: network I/O around the load-balancing decisions of `quillroad.balancing`.

`quillroad.gateway` connects the components of one gateway; `quillroad.start` starts its process.
"""
