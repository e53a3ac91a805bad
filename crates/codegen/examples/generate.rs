//! Writes the generated types of `berylhook-peer` anew; run it after changing
//! a protocol file and commit what it wrote. The build never runs it.

use std::path::Path;

fn main() {
    let peer = Path::new(env!("CARGO_MANIFEST_DIR")).join("../peer");
    let files = protox::compile([peer.join("proto/peer.proto")], [peer.join("proto")])
        .expect("the protocol file compiles");
    prost_build::Config::new()
        .out_dir(peer.join("src/generated"))
        .bytes(["."])
        .compile_fds(files)
        .expect("the generated file is written");
}
