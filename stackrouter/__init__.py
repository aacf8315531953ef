"""The real gateway on sockets round the decision module rackseam."""
