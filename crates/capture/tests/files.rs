//! Files of every form that is read, whole, cut and spoilt.

use std::time::Duration;

use etherparse::{EtherType, IpFragOffset, IpNumber, Ipv4Header, PacketBuilder};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yewroute_capture::read::{read, Fault, Summary};
use yewroute_capture::write::{End, Writer};

/// What a test keeps of a segment.
type Kept = (Duration, u16, u32, bool, Vec<u8>, usize);

fn all(file: &[u8]) -> (Vec<Kept>, Result<Summary, Fault>) {
    let mut kept = Vec::new();
    let summary = read(file, |s| {
        kept.push((s.at, s.from.port(), s.seq, s.syn || s.fin || s.rst, s.payload.to_vec(), s.missing));
    });
    (kept, summary)
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(1_767_225_600_000 + ms)
}

/// A conversation as the writer puts it.
fn conversation(server: &str) -> Vec<u8> {
    let mut writer = Writer::new(Vec::new()).unwrap();
    let (client, server) = ("127.0.0.9:4000".parse().unwrap(), server.parse().unwrap());
    let mut connection = writer.open(at(0), client, server, u32::MAX - 3).unwrap();
    writer.send(at(1), &mut connection, End::Client, b"hello").unwrap();
    writer.send(at(2), &mut connection, End::Server, &[7; 40_000]).unwrap();
    writer.close(at(3), &mut connection, End::Client, false).unwrap();
    writer.close(at(4), &mut connection, End::Server, true).unwrap();
    let written = writer.written();
    let file = writer.finish().unwrap();
    assert_eq!(file.len() as u64, written);
    file
}

#[test]
fn what_is_written_is_read_back() {
    for server in ["127.0.0.1:5432", "[::1]:5432"] {
        let (kept, summary) = all(&conversation(server));
        let summary = summary.unwrap();
        assert_eq!((summary.packets, summary.malformed, summary.cut_at), (8, 0, None));
        assert_eq!(kept[2], (at(1), 4000, u32::MAX - 2, false, b"hello".to_vec(), 0));
        // The sequence wraps in the middle of hello, and nothing of the long answer is lost.
        assert_eq!(kept[6].2, 2);
        let answer: Vec<u8> = kept[3..6].iter().flat_map(|k| k.4.clone()).collect();
        assert_eq!(answer, [7; 40_000]);
        assert!(kept[0].3 && kept[1].3 && kept[6].3 && kept[7].3);
    }
}

#[test]
fn a_file_cut_at_any_byte_gives_all_whole_packets_before_and_the_offset_of_the_cut() {
    let file = conversation("127.0.0.1:5432");
    let mut ends = vec![24_usize];
    let mut rest = &file[24..];
    while !rest.is_empty() {
        let len = 16 + u32::from_le_bytes(rest[8..12].try_into().unwrap()) as usize;
        ends.push(ends.last().unwrap() + len);
        rest = &rest[len..];
    }
    let (whole, _) = all(&file);
    // Every byte but the insides of the long packets, of which every 197th.
    for cut in (0..=file.len()).filter(|cut| *cut < 400 || cut % 197 == 0 || file.len() - cut < 200) {
        let (kept, summary) = all(&file[..cut]);
        let summary = summary.unwrap();
        let packets = ends.iter().filter(|end| **end <= cut).count().saturating_sub(1);
        assert_eq!(kept, whole[..packets], "cut at {cut}");
        let begun = ends.iter().rfind(|end| **end <= cut).copied().unwrap_or(0);
        let wanted = (begun != cut || cut == 0).then_some(begun as u64);
        assert_eq!(summary.cut_at, wanted, "cut at {cut}");
    }
}

fn tcp(payload: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    let builder = PacketBuilder::ipv4([127, 0, 0, 9], [127, 0, 0, 1], 64).tcp(4000, 5432, 77, 100).ack(5);
    builder.write(&mut out, payload).unwrap();
    out
}

/// A pcap file of one packet, big-endian, in microseconds.
fn pcap_be(link: u32, packet: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    for number in [0xa1b2_c3d4, 0x0002_0004, 0, 0, 65_535, link] {
        out.extend(u32::to_be_bytes(number));
    }
    for number in [1_767_225_600, 250_000, packet.len() as u32, packet.len() as u32] {
        out.extend(u32::to_be_bytes(number));
    }
    out.extend(packet);
    out
}

/// A pcapng file of one packet, little-endian, in milliseconds.
fn pcapng(link: u16, packet: &[u8]) -> Vec<u8> {
    let block = |kind: u32, body: &[u8]| {
        let len = (12 + body.len() as u32).to_le_bytes();
        [&kind.to_le_bytes()[..], &len, body, &len].concat()
    };
    let section = [&0x1a2b_3c4d_u32.to_le_bytes()[..], &[1, 0, 0, 0], &[0xff; 8]].concat();
    // if_tsresol, option 9: 10^-3.
    let interface =
        [&link.to_le_bytes()[..], &[0, 0, 0, 0, 4, 0], &[9, 0, 1, 0, 3, 0, 0, 0, 0, 0, 0, 0]].concat();
    let ticks = 1_767_225_600_250_u64;
    let mut data = Vec::new();
    for number in [0, (ticks >> 32) as u32, ticks as u32, packet.len() as u32, packet.len() as u32] {
        data.extend(u32::to_le_bytes(number));
    }
    data.extend(packet);
    data.resize(data.len().next_multiple_of(4), 0);
    [block(0x0a0d_0d0a, &section), block(1, &interface), block(6, &data)].concat()
}

#[test]
fn every_link_type_byte_order_and_resolution_gives_the_same_segment() {
    let ip = tcp(b"payload");
    let ether = [&[2; 12][..], &[0x08, 0x00]].concat();
    let vlan = [&[2; 12][..], &[0x81, 0x00, 0, 5, 0x81, 0x00, 0, 6, 0x08, 0x00]].concat();
    let cooked = [&[0; 14][..], &[0x08, 0x00]].concat();
    let cooked2 = [&[0x08, 0x00][..], &[0; 18]].concat();
    let cases: [(u16, &[u8]); 7] = [
        (1, &ether),
        (1, &vlan),
        (113, &cooked),
        (276, &cooked2),
        (101, &[]),
        (0, &[2, 0, 0, 0]),
        (108, &[0, 0, 0, 2]),
    ];
    for (link, head) in cases {
        let packet = [head, &ip].concat();
        for file in [pcap_be(link.into(), &packet), pcapng(link, &packet)] {
            let (kept, summary) = all(&file);
            assert_eq!(
                kept,
                [(at(250), 4000, 77, false, b"payload".to_vec(), 0)],
                "link {link}: {summary:?}"
            );
        }
    }
    let (kept, summary) = all(&pcap_be(147, &ip));
    assert_eq!((kept.len(), summary.unwrap().unknown_link), (0, 1));
}

#[test]
fn fragments_come_together_and_a_snap_length_cut_is_told() {
    let whole = tcp(&[9; 3000]);
    let (_, payload) = Ipv4Header::from_slice(&whole).unwrap();
    let part = |from: usize, to: usize, more: bool| {
        let mut header =
            Ipv4Header::new((to - from) as u16, 64, IpNumber::TCP, [127, 0, 0, 9], [127, 0, 0, 1]).unwrap();
        header.identification = 7;
        header.more_fragments = more;
        header.fragment_offset = IpFragOffset::try_new((from / 8) as u16).unwrap();
        header.header_checksum = header.calc_header_checksum();
        let mut out = Vec::new();
        header.write(&mut out).unwrap();
        out.extend(&payload[from..to]);
        out
    };
    let parts = [part(1600, payload.len(), false), part(0, 800, true), part(800, 1600, true)];
    let mut file = pcap_be(101, &parts[0]);
    for part in &parts[1..] {
        file.extend(&pcap_be(101, part)[24..]);
    }
    let (kept, summary) = all(&file);
    assert_eq!(kept, [(at(250), 4000, 77, false, vec![9; 3000], 0)]);
    assert_eq!(summary.unwrap().fragments, 2);
    // Of 3,000 bytes only 100 were kept.
    let (kept, _) = all(&pcap_be(101, &whole[..140]));
    assert_eq!(kept, [(at(250), 4000, 77, false, vec![9; 100], 2900)]);
    // Not even the TCP header.
    let (kept, summary) = all(&pcap_be(101, &whole[..30]));
    assert_eq!((kept.len(), summary.unwrap().malformed), (0, 1));
    let arp = [&[2; 12][..], &EtherType::ARP.0.to_be_bytes(), &[0; 28]].concat();
    assert_eq!(all(&pcap_be(1, &arp)).0.len(), 0);
}

#[test]
fn what_is_no_capture_file_is_said_to_be_none() {
    assert!(matches!(all(b"SELECT 1; and a little more of it").1, Err(Fault::Unknown)));
    // A packet said to be of 2 GB.
    let mut file = pcap_be(101, &tcp(b"x"));
    file[32..36].copy_from_slice(&0x7fff_ffff_u32.to_be_bytes());
    let (kept, summary) = all(&file);
    assert!(kept.is_empty());
    assert!(matches!(summary, Err(Fault::TooLong(24)) | Ok(Summary { cut_at: Some(24), .. })), "{summary:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn no_bytes_make_the_reader_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..400),
        which in 0_usize..4,
        spoilt in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..12),
    ) {
        let mut file = match which {
            0 => bytes,
            1 => pcapng(1, &[&[2; 12][..], &[0x08, 0x00], &tcp(&bytes)].concat()),
            2 => pcap_be(113, &[&[0; 14][..], &[0x86, 0xdd], &bytes].concat()),
            _ => conversation("127.0.0.1:5432")[..2000].to_vec(),
        };
        for (index, byte) in spoilt {
            if !file.is_empty() {
                let at = index.index(file.len());
                file[at] = byte;
            }
        }
        let (kept, _) = all(&file);
        prop_assert!(kept.iter().all(|k| k.4.len() <= file.len()));
    }
}
