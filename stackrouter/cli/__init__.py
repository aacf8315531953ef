"""The command line for operators and developers."""
