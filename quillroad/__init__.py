"""The real gateway round the decision module `quillroad.balancing`: sockets in and out, no
decisions of its own."""
