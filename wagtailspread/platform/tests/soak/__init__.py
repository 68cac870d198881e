"""Soak of real processes under planned and unplanned stops."""
