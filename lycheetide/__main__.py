"""Entry point of ``python -m lycheetide``."""

from lycheetide.cli import main

if __name__ == "__main__":
    main()
