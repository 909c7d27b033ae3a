"""Host discovery from Consul's health API (https://developer.hashicorp.com/consul/api-docs)."""
