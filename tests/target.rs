//! Tests of the host and the target of a request as the caller sent them.

use quickcheck::quickcheck;
use zinnialoom::target::Target;

fn parse(target: &str, host: &str) -> Option<(String, String)> {
    let parsed = Target::parse(target, host).ok()?;
    Some((parsed.host.to_string(), parsed.path_and_query().to_owned()))
}

/// Guards against a request that gets the route of another host or path than the one that its caller named.
#[test]
fn targets_are_kept_as_they_were_sent() {
    for (target, host, expected) in [
        ("/a/1?x=/../z", "h", ("h", "/a/1?x=/../z")),
        (
            "/a/%2e%2E/./..//b",
            "H.Example:80",
            ("h.example", "/a/%2e%2E/./..//b"),
        ),
        ("//x//", "h.:8080", ("h", "//x//")),
        ("/?", "h", ("h", "/?")),
        ("/%zz|{}", "h:", ("h", "/%zz|{}")),
        ("http://Other:1/a/../b?q", "h", ("other", "/a/../b?q")),
        ("HTTP://other", "h", ("other", "/")),
        ("http://other?q", "h", ("other", "/?q")),
        ("/a", "[::1]:80", ("[::1]", "/a")),
    ] {
        let expected = Some((expected.0.to_owned(), expected.1.to_owned()));
        assert_eq!(parse(target, host), expected, "{target} {host}");
    }
}

/// Guards against a target or host that HTTP does not allow and two programs read differently.
#[test]
fn bad_targets_and_hosts_are_refused() {
    for (target, host) in [
        ("", "h"),
        ("*", "h"),
        ("a/b", "h"),
        ("ftp://h/", "h"),
        ("http:///a", "h"),
        ("http://h@g/", "h"),
        ("/a#b", "h"),
        ("/ä", "h"),
        ("/a\u{7f}", "h"),
        ("/a", ""),
        ("/a", "."),
        ("/a", "h/g"),
        ("/a", "h, g"),
        ("/a", "u@h"),
        ("/a", "h:x"),
        ("/a", "h:70000"),
        ("/a", "h:1:2"),
        ("/a", "[::1"),
        ("/a", "[::1]x"),
        ("/a", "[g]"),
    ] {
        assert_eq!(parse(target, host), None, "{target:?} {host:?}");
    }
}

/// Guards against a path that leads around a key because an upstream resolves it in another way.
#[test]
fn dot_segments_are_resolved_as_the_rfc_says() {
    for (path, resolved) in [
        ("/a/b", "/a/b"),
        ("/a/../b/1", "/b/1"),
        ("/a/%2e%2E/b", "/b"),
        ("/a/.%2e/b", "/b"),
        ("/a/./b/.", "/a/b/"),
        ("/a/b/..", "/a/"),
        ("/..", "/"),
        ("/../../a/", "/a/"),
        ("/a//../b", "/a/b"),
        ("/a/...", "/a/..."),
        ("/", "/"),
    ] {
        let target = Target::parse(path, "h").unwrap();
        assert_eq!(target.resolved_path(), resolved, "{path}");
    }
}

quickcheck! {
    /// Guards against a parser that panics on text of callers, or that changes a path.
    fn any_text_is_refused_or_kept(target: String, host: String) -> bool {
        let path = format!("/{target}");
        let parsed = Target::parse(&path, "h").ok();
        let is_kept = parsed.is_none_or(|t| {
            t.resolved_path().starts_with('/') && t.path_and_query() == path && path.starts_with(t.path())
        });
        let _ = (Target::parse(&target, &host), Target::parse(&format!("http://{target}"), &host));
        is_kept
    }
}
