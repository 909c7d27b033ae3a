"""Consul's health API as a source of hosts (https://developer.hashicorp.com/consul/api-docs)."""
