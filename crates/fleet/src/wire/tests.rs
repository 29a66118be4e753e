use super::*;

#[test]
fn frames_decode_at_any_split_and_corrupt_ones_do_not() {
    let frames = [
        Frame::ClientRequest(ClientRequest::Show),
        Frame::MemberMessage(MemberMessage::LogStatus { status: LogStatus::Empty, wants_reply: true }),
        Frame::MemberMessage(MemberMessage::Raft(vec![7; 1000])),
    ];
    let bytes: Vec<u8> = frames.iter().flat_map(|frame| encode(frame).unwrap()).collect();
    let (mut decoded, mut received, mut got) = (0, 0, Vec::new());
    while got.len() < frames.len() {
        match decode(&bytes[decoded..received]).unwrap() {
            Some((frame, taken)) => {
                got.push(frame);
                decoded += taken;
            }
            None => received += 1,
        }
    }
    assert_eq!(got, frames);
    let one = encode(&frames[2]).unwrap();
    for n in 0..one.len() {
        let mut corrupt = one.clone();
        corrupt[n] ^= 0x20;
        assert!(!matches!(decode(&corrupt), Ok(Some(_))), "byte {n}");
    }
    assert_eq!(decode(&u32::MAX.to_be_bytes()), Err(BadFrame::TooLarge(u32::MAX as usize)));
}
