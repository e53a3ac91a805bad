//! Regenerates the message types of `berylhook-peer`. Run it after a change of the protocol file
//! and commit the result; the build does not run it.

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
