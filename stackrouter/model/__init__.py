"""A discrete-event simulation of the fleet, without sockets, around the real engine and decision module."""
