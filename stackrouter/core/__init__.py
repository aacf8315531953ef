"""Requests, attempts and their outcomes; knows no wire."""
