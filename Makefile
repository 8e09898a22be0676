.PHONY: build test lint run

build:
	cargo build --release --locked --workspace

test:
	cargo test --locked --workspace

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings

run: build
	exec target/release/yewroute
