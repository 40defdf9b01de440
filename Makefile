# The tasks of daily work; .ci/run is what a landing must pass.
.PHONY: build test lint format run check

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

format:
	cargo fmt --all

# make run CONFIG=path/to/config.json
run: build
	NODE_CONFIG=$(CONFIG) target/release/damsonbeam

check:
	.ci/run
