use super::*;

#[test]
fn what_is_written_is_read_back_with_its_family() {
    for (text, family, host) in [
        ("127.0.0.1:80", Family::V4, "127.0.0.1:80"),
        ("[::1]:9", Family::V6, "[::1]:9"),
        ("[fe80::1%7]:65535", Family::V6, "[fe80::1]:65535"),
        ("[::ffff:10.0.0.1]:80", Family::V4, "[::ffff:10.0.0.1]:80"),
        ("unix:/run/x.sock", Family::Unix, "localhost"),
        ("unix:/run/with:colon and space", Family::Unix, "localhost"),
    ] {
        let place: Place = text.parse().unwrap();
        assert_eq!((place.to_string().as_str(), place.family(), place.host().as_str()), (text, family, host));
    }
}

#[test]
fn mistakes_name_the_part() {
    use PlaceError::*;
    let long = format!("unix:/{}", "x".repeat(LONGEST_PATH));
    for (text, error) in [
        ("", Form),
        ("localhost", Form),
        ("localhost:80", V4("localhost".into())),
        ("1.2.3:80", V4("1.2.3".into())),
        ("1.2.3.4:", Port),
        ("1.2.3.4:0", Port),
        ("1.2.3.4:+80", Port),
        ("1.2.3.4:65536", Port),
        ("0.0.0.0:80", Unusable(Ipv4Addr::UNSPECIFIED.into())),
        ("224.0.0.1:80", Unusable(Ipv4Addr::new(224, 0, 0, 1).into())),
        ("255.255.255.255:80", Unusable(Ipv4Addr::BROADCAST.into())),
        ("::1:80", Brackets),
        ("[::1:80", Brackets),
        ("[::1]", Port),
        ("[::1]80", Port),
        ("[::1]:x", Port),
        ("[1.2.3.4]:80", V6("1.2.3.4".into())),
        ("[::]:80", Unusable(Ipv6Addr::UNSPECIFIED.into())),
        ("[fe80::1]:80", ZoneMissing),
        ("[fe80::1%eth0]:80", Zone),
        ("[fe80::1%]:80", Zone),
        ("[fe80::1%0]:80", Zone),
        ("[::1%1]:80", ZoneNotWanted),
        ("unix:", Relative),
        ("unix:run/x", Relative),
        ("unix:/run/", Relative),
        ("unix:/a\0b", Zero),
        (long.as_str(), TooLong(LONGEST_PATH + 1)),
    ] {
        assert_eq!(text.parse::<Place>(), Err(error), "{text}");
    }
}
