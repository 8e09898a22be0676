.PHONY: build test lint run demo bench

build:
	cargo build --release --locked --workspace

# TEST_ARGS: what CI adds, from KNOWN-RED.txt.
test:
	cargo test --locked --workspace $(TEST_ARGS)

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings

# The main job against stand-ins on loopback; ends by itself.
demo:
	cargo run --release --locked -p yewroute-gateway -- demo

# Long measurements, not part of the tests.
bench:
	cargo bench --locked -p yewroute-pgwire
	cargo bench --locked -p yewroute-gateway --bench cpu
	cargo bench --locked -p yewroute-gateway --bench service
	cargo bench --locked -p yewroute-gateway --bench hosts
	cargo bench --locked -p yewroute-gateway --bench fleet
	cargo bench --locked -p yewroute-reassembly
	cargo bench --locked -p yewroute-replay
	cargo run --release --locked -p yewroute-pgwire --example lease_memory

run: build
	exec target/release/yewroute
