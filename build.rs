//! Computes an id of the sources, by which a running program can be told apart from the checkout beside it.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use sha2::Digest;
use sha2::Sha256;

/// Files and folders of which the programs are built.
const SOURCES: [&str; 4] = ["Cargo.lock", "Cargo.toml", "platform", "src"];
/// Folder with tests, which are not part of any program.
const TESTS: &str = "tests";
/// Hexadecimal digits of the id.
const ID_DIGITS: usize = 12;

fn main() -> io::Result<()> {
    let mut hash = Sha256::new();
    for source in SOURCES {
        println!("cargo:rerun-if-changed={source}");
        add(&mut hash, Path::new(source))?;
    }
    let id = format!("{:x}", hash.finalize());
    println!("cargo:rustc-env=ZINNIALOOM_SOURCE={}", &id[..ID_DIGITS]);
    Ok(())
}

fn add(hash: &mut Sha256, path: &Path) -> io::Result<()> {
    if path.ends_with(TESTS) {
        return Ok(());
    }
    if path.is_file() {
        let bytes = fs::read(path)?;
        // The lengths make the boundaries of names and contents unambiguous.
        let name = path.to_string_lossy();
        hash.update(format!("{}:{name}:{}:", name.len(), bytes.len()));
        hash.update(bytes);
        return Ok(());
    }
    let entries = fs::read_dir(path)?.map(|entry| entry.map(|e| e.path()));
    let mut paths: Vec<PathBuf> = entries.collect::<io::Result<_>>()?;
    paths.sort();
    paths.iter().try_for_each(|path| add(hash, path))
}
