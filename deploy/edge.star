# What this installation adds to the configuration; docs/operate/extended-queries.md explains each key.
# `yewroute check deploy/edge.star` says what is wrong with it; `yewroute run --edge deploy/edge.star` uses it.
# The platform's `run` line loads none of it.

postgres(
    extended = True,
    statements_per_client = 512,
    portals_per_client = 64,
    client_kib = 512,
    statement_table_kib = 4096,
    pipeline_idle_ms = 10000,
)

hosts(
    protocol = "extended",
    statements_per_connection = 128,
)

# The other gateways of the fleet; docs/operate/fleet-view.md. It needs a key of the installation's own beside this file,
# so it is off here:
# fleet(
#     listen = "127.0.0.1:7400",
#     seeds = ["127.0.0.1:7400", "127.0.0.1:7401"],
#     key_file = "fleet.key",
#     zone = "a",
#     regions = {"north": ["a", "b"], "south": ["c"]},
# )

# With it, reads are asked in the gateway's own zone first, then in its region, and beside federation() where one plan for
# all zones says; docs/operate/zones.md:
# zones(headroom = 0.1, step = 0.1, cold_share = 0.1, keep_s = 10, prefer = [])

# All gateways of the fleet by one table, with its first version; docs/operate/federation.md:
# federation()
# route("day", classes = ["view"], zones = {"a": 0.5, "b": 0.5})
# limit("desks", classes = ["order"], rate = 120)
