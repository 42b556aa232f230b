"""Names and limits of foxstep's extensions to xDS, as they are on the wire."""

QUOTAS_FEATURE = "foxstep.quotas"  # client feature: rate levels reach it as quota assignments
HOME_FEATURE = "foxstep.home"  # client feature: it dials the controller that the stream's end names
HOME_METADATA_KEY = "foxstep-home"  # trailing metadata: address of the controller to dial
TABLES_FEATURE = "foxstep.tables"  # client feature: it checks the base and result hashes of a change
UNLIMITED_RATE = 1_000_000  # ops a second: a rate level from here on rejects nothing
