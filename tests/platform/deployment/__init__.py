"""Plays of a whole deployment under a supervisor."""
