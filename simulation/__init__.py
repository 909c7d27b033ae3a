"""Virtual network and clock for the membership core, and other failure detectors to compare."""
