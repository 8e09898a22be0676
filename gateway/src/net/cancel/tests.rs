use super::*;

#[test]
fn a_key_names_its_own_connection_alone_also_beyond_32_bits() {
    let keys = CancelKeys::default();
    let newest = (5_u64 << 32) + 10;
    for number in [1, 10, 0xffff_ffff, newest - 9, newest] {
        assert_eq!(keys.number(keys.of(number), newest.min(number + 3)), Some(number));
    }
    // The older one's number is not reached any more: a newer connection has its process ID.
    assert_eq!(keys.number(keys.of(10), newest), None);
    let wrong = CancelKey { secret: keys.of(7).secret ^ 1, ..keys.of(7) };
    assert_eq!(keys.number(wrong, 10), None);
    assert_eq!(keys.number(keys.of(11), 10), None, "no such connection yet");
    assert_eq!(CancelKeys::default().number(keys.of(7), 10), None, "another process's");
}
