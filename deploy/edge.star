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
