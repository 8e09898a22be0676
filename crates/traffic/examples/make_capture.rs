//! Writes a capture of so many MB (the first argument) to the path given second, as a day of a gateway's clients would
//! leave it: `yewroute pcap stats` on it shows how fast it is read, and `/usr/bin/time -v` in how much memory.

use std::io::BufWriter;
use std::net::SocketAddr;
use std::time::Duration;

use yewroute_capture::write::{End, Writer};
use yewroute_pgwire::frame::{put, put_text};

const CLIENTS: u16 = 200;

fn main() -> std::io::Result<()> {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, megabytes, path] = arguments.as_slice() else { panic!("how many MB, and a path") };
    let bytes = megabytes.parse::<u64>().expect("a number") * 1_000_000;
    let mut writer = Writer::new(BufWriter::new(std::fs::File::create(path)?))?;
    let server = SocketAddr::from(([127, 0, 0, 1], 5432));
    let at = |n: u64| Duration::from_secs(1_767_225_600) + Duration::from_micros(n * 100);
    let mut startup = vec![0, 0, 0, 8, 0, 3, 0, 0];
    startup[3] = 8;
    let mut welcome = Vec::new();
    put(&mut welcome, b'R', |b| b.extend([0; 4]));
    put(&mut welcome, b'Z', |b| b.push(b'I'));
    let mut clients = Vec::new();
    for n in 0..CLIENTS {
        let client = SocketAddr::from(([127, 0, 1, 1], 10_000 + n));
        let mut connection = writer.open(at(0), client, server, u32::from(n) * 77)?;
        writer.send(at(1), &mut connection, End::Client, &startup)?;
        writer.send(at(2), &mut connection, End::Server, &welcome)?;
        clients.push(connection);
    }
    let (mut n, mut requests) = (10, 0_u64);
    while writer.written() < bytes {
        let connection = &mut clients[(n % u64::from(CLIENTS)) as usize];
        let (mut query, mut answer) = (Vec::new(), Vec::new());
        put(&mut query, b'Q', |b| {
            put_text(
                b,
                &format!(
                    "SELECT doc FROM items WHERE id = 'k{n}' /* id={n:016x},c=flight-view,d=480,cluster=2 */"
                ),
            );
        });
        put(&mut answer, b'T', |b| b.extend(b"\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\0\0\0\0\0\x01"));
        put(&mut answer, b'D', |b| {
            b.extend([0, 1, 0, 0, 1, 44]);
            b.extend([7; 300]);
        });
        put(&mut answer, b'C', |b| put_text(b, "SELECT 1"));
        put(&mut answer, b'Z', |b| b.push(b'I'));
        writer.send(at(n), connection, End::Client, &query)?;
        writer.send(at(n + 50), connection, End::Server, &answer)?;
        (n, requests) = (n + 1, requests + 1);
    }
    writer.finish()?;
    println!("{requests} requests");
    Ok(())
}
