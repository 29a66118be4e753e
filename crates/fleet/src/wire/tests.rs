use super::*;

#[test]
fn frames_come_back_in_any_split_and_no_spoilt_one_does() {
    let frames = [
        Frame::Ask(Ask::Show),
        Frame::Body(Body::Holds { holds: Holds::Nothing, ask: true }),
        Frame::Body(Body::Record(vec![7; 1000])),
    ];
    let bytes: Vec<u8> = frames.iter().flat_map(|frame| encode(frame).unwrap()).collect();
    let (mut at, mut seen, mut got) = (0, 0, Vec::new());
    while got.len() < frames.len() {
        match decode(&bytes[at..seen]).unwrap() {
            Some((frame, taken)) => {
                got.push(frame);
                at += taken;
            }
            None => seen += 1,
        }
    }
    assert_eq!(got, frames);
    let one = encode(&frames[2]).unwrap();
    for n in 0..one.len() {
        let mut spoilt = one.clone();
        spoilt[n] ^= 0x20;
        assert!(!matches!(decode(&spoilt), Ok(Some(_))), "byte {n}");
    }
    assert_eq!(decode(&u32::MAX.to_be_bytes()), Err(BadFrame::TooLarge(u32::MAX as usize)));
}
