"""The side towards the hosts: connections, attempts and what their ends mean."""
