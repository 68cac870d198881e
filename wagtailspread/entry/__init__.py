"""Entry host: receives caller requests and forwards them to upstreams."""
