"""Entry point of `python -m foxstep`, which is also installed as the command `foxstep`."""

import sys

if __name__ == "__main__":
    if sys.argv[1:] == ["node"]:  # handled first, so that the node doesn't import the other commands
        from foxstep.node.program import main

        sys.exit(main())
    from foxstep.commands.line import main

    main()
