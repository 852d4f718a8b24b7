"""How the one binary is built."""
