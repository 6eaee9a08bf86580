"""Identities and rights: who asks, whether they may, and proof of both. Not wired in yet."""
