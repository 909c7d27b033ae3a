"""The real gateway round the decision module `pinetrack`: sockets in and out, no decisions of its own."""
