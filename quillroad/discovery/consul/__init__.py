"""Consul's catalogue and health API as a source (https://developer.hashicorp.com/consul/api-docs)."""
