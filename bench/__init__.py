"""Measurements that anyone can run: `python -m bench.NAME`. No part of CI."""
