"""The upstream side: connections to hosts, attempts, and how attempts end."""
