"""`python -m endivesill` is the command-line tool."""

from endivesill.cli import main

main()
