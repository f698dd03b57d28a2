"""Tests of the links between entry nodes."""
