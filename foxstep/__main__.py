"""`python -m foxstep`, installed as `foxstep`."""

import sys

if __name__ == "__main__":
    if sys.argv[1:] == ["node"]:  # a small program: nothing of the command line's is imported for it
        from foxstep.node.program import main

        sys.exit(main())
    from foxstep.commands.line import main

    main()
