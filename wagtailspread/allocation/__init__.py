"""Allocation of upstream slots to requests, for one service in one region."""
