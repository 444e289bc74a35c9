"""`python -m endivesill` runs the command-line tool."""

from endivesill.cli import main

main()
