use super::*;

#[test]
fn addresses_parse_and_print_with_their_family_and_host() {
    for (text, family, host) in [
        ("127.0.0.1:80", AddressFamily::V4, "127.0.0.1:80"),
        ("[::1]:9", AddressFamily::V6, "[::1]:9"),
        ("[fe80::1%7]:65535", AddressFamily::V6, "[fe80::1]:65535"),
        ("[::ffff:10.0.0.1]:80", AddressFamily::V4, "[::ffff:10.0.0.1]:80"),
        ("unix:/run/x.sock", AddressFamily::Unix, "localhost"),
        ("unix:/run/with:colon and space", AddressFamily::Unix, "localhost"),
    ] {
        let place: Endpoint = text.parse().unwrap();
        assert_eq!((place.to_string().as_str(), place.family(), place.host().as_str()), (text, family, host));
    }
}

#[test]
fn invalid_addresses_report_the_wrong_part() {
    use EndpointError::*;
    let long = format!("unix:/{}", "x".repeat(MAX_UNIX_PATH_BYTES));
    for (text, error) in [
        ("", Malformed),
        ("localhost", Malformed),
        ("localhost:80", InvalidIpv4("localhost".into())),
        ("1.2.3:80", InvalidIpv4("1.2.3".into())),
        ("1.2.3.4:", InvalidPort),
        ("1.2.3.4:0", InvalidPort),
        ("1.2.3.4:+80", InvalidPort),
        ("1.2.3.4:65536", InvalidPort),
        ("0.0.0.0:80", NotConnectable(Ipv4Addr::UNSPECIFIED.into())),
        ("224.0.0.1:80", NotConnectable(Ipv4Addr::new(224, 0, 0, 1).into())),
        ("255.255.255.255:80", NotConnectable(Ipv4Addr::BROADCAST.into())),
        ("::1:80", MissingBrackets),
        ("[::1:80", MissingBrackets),
        ("[::1]", InvalidPort),
        ("[::1]80", InvalidPort),
        ("[::1]:x", InvalidPort),
        ("[1.2.3.4]:80", InvalidIpv6("1.2.3.4".into())),
        ("[::]:80", NotConnectable(Ipv6Addr::UNSPECIFIED.into())),
        ("[fe80::1]:80", MissingZone),
        ("[fe80::1%eth0]:80", InvalidZone),
        ("[fe80::1%]:80", InvalidZone),
        ("[fe80::1%0]:80", InvalidZone),
        ("[::1%1]:80", UnexpectedZone),
        ("unix:", RelativePath),
        ("unix:run/x", RelativePath),
        ("unix:/run/", RelativePath),
        ("unix:/a\0b", ZeroByteInPath),
        (long.as_str(), PathTooLong(MAX_UNIX_PATH_BYTES + 1)),
    ] {
        assert_eq!(text.parse::<Endpoint>(), Err(error), "{text}");
    }
}
