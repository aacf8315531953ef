"""The wires the gateway speaks; core and net import nothing from here."""
