"""The fleet's processes: their settings and how their parts are joined."""
