use super::*;

#[test]
fn kernel_tells_of_this_process() {
    let id = std::process::id();
    assert!(run_queue_wait(id).is_some());
    assert!(state(id).is_some());
    // There is no such process.
    assert_eq!(run_queue_wait(u32::MAX), None);
    assert_eq!(state(u32::MAX), None);
    let watch = HoldUpWatch::start([AtomicU32::new(id), AtomicU32::new(0)].into());
    assert!(watch.end(Instant::now()).len() < MOST_KEPT);
}

#[test]
fn time_taken_from_a_processor_is_a_hold_up() {
    assert!(!stolen_times().is_empty());
    let [none, short, long] = [0, 30, 1_500].map(Duration::from_millis);
    assert_eq!(of_processors(&[none, none], &[short, none]), []);
    let found = of_processors(&[none, short], &[none, short + long]);
    assert_eq!(found, [HoldUp::Stolen { processor: 1, taken: long }]);
}
