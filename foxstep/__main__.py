"""`python -m foxstep`, installed as `foxstep`."""

from foxstep.commands.line import main

if __name__ == "__main__":
    main()
