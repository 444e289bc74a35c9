"""Tests of endivesill; a module mirrors each module of the package."""
