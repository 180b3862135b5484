package org.parsleycart.daemon.call;

import java.util.stream.Stream;

/**
 * A head of a response that is none (RFC 9110 and RFC 9112).
 *
 * @param name what is wrong
 * @param line the lines that are wrong, without the end of the last one
 * @param body the body that follows the head
 */
record MalformedHead(String name, String line, String body) {
  private static final String BODY = "0123456789abcdef";
  private static final String CHUNKS = "10\r\n" + BODY + "\r\n0\r\n\r\n";

  // -- construction

  /** Returns all malformed heads. */
  static Stream<MalformedHead> all() {
    return Stream.of(lengths(), lengthNames(), codings(), lines(), names(), values())
        .flatMap(heads -> heads);
  }

  private static Stream<MalformedHead> lengths() {
    return Stream.of(
            "+16",
            "-16",
            "1 6",
            "1\t6",
            "16, 16",
            "16,9",
            "9, 16",
            "16,",
            "0x10",
            "16.0",
            "1e1",
            "16 bytes",
            "sixteen",
            "",
            "99999999999999999999",
            "9223372036854775808",
            "18446744073709551632",
            "\u000016",
            "1\u00006",
            "16\u0000",
            "1\u001b6",
            "16\u007f",
            "16;",
            "\"16\"",
            "16\u00a0",
            "\u0661\u0666")
        .map(value -> of("length", "Content-Length: " + value));
  }

  private static Stream<MalformedHead> lengthNames() {
    return Stream.of(
            "Content-Length: 9\r\nContent-Length: 16",
            "Content-Length: 16\r\nContent-Length: 9",
            "Content-Length: 16\r\ncontent-length: 17",
            "Content-Length 16",
            "Content-Length",
            "Content-Length : 16",
            "Content-Length\t: 16",
            "Content Length: 16",
            "Content-Length\u0000: 16",
            "Content-\u0000Length: 16",
            "\u0000Content-Length: 16",
            "\u001bContent-Length: 16",
            " Content-Length: 16",
            "\tContent-Length: 16",
            "Content-\u001bLength: 16",
            "Content-Length\u007f: 16",
            "Content-L\u00e9ngth: 16",
            "Content-Length:\r\n 16",
            "Content-Length: 1\r\n 6")
        .map(lines -> of("name of the length", lines));
  }

  private static Stream<MalformedHead> codings() {
    return Stream.of(
            "Transfer-Encoding: chunky",
            "Transfer-Encoding: identity",
            "Transfer-Encoding: gzip",
            "Transfer-Encoding: gzip, chunked",
            "Transfer-Encoding: chunked, gzip",
            "Transfer-Encoding: chunked, chunked",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip",
            "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
            "Transfer-Encoding: chunked;q=1",
            "Transfer-Encoding: \"chunked\"",
            "Transfer-Encoding: chun ked",
            "Transfer-Encoding: xchunked",
            "Transfer-Encoding: chunkedx",
            "Transfer-Encoding: ",
            "Transfer-Encoding: +chunked",
            "Transfer-Encoding: chunked\u0000",
            "Transfer-Encoding: \u000bchunked",
            "Transfer-Encoding : chunked",
            "Transfer Encoding: chunked",
            "Transfer-Encoding\u0000: chunked",
            "\u0000Transfer-Encoding: chunked",
            " Transfer-Encoding: chunked",
            "Transfer-Encoding chunked",
            "Transfer-Encoding:\r\n chunked")
        .map(lines -> new MalformedHead("transfer coding " + visible(lines), lines, CHUNKS));
  }

  private static Stream<MalformedHead> lines() {
    return Stream.of(
            "no field at all",
            "word",
            ": without a name",
            ":",
            " : blank",
            " X-Field: indented",
            "\tX-Field: indented",
            "X-Field: folded\r\n here",
            "X-Field: folded\r\n\there",
            "X-Field:\r\n folded",
            "X-Field: folded\r\n ",
            "HTTP/1.1 200 OK",
            "\u0000",
            "\u007f\u0001")
        .map(lines -> of("line", lines));
  }

  /** Names with each byte that is not allowed, at their start, within them and at their end. */
  private static Stream<MalformedHead> names() {
    return Stream.of(
            " ", "\t", "\u0000", "\u0001", "\u0008", "\u000b", "\u000c", "\u001b", "\u007f", "\"",
            "(", ")", ",", "/", ";", "<", "=", ">", "?", "@", "[", "\\", "]", "{", "}", "\u0080",
            "\u00a0", "\u00e9", "\u00ff")
        .flatMap(octet -> Stream.of(octet + "XField", "X" + octet + "Field", "XField" + octet))
        .map(name -> of("name", name + ": value"));
  }

  private static Stream<MalformedHead> values() {
    return Stream.of("\u0000", "\u0001", "\u0008", "\u000b", "\u000c", "\r", "\u001b", "\u007f")
        .flatMap(octet -> Stream.of(octet + "value", "va" + octet + "lue", "value" + octet))
        .map(value -> of("value", "X-Field: " + value));
  }

  private static MalformedHead of(String kind, String lines) {
    return new MalformedHead(kind + " " + visible(lines), lines, BODY);
  }

  /** Returns text in which control characters can be read. */
  static String visible(String text) {
    StringBuilder visible = new StringBuilder();
    text.chars()
        .forEach(
            each ->
                visible.append(
                    each < ' ' || each > '~'
                        ? "\\x%02x".formatted(each)
                        : Character.toString(each)));
    return visible.toString();
  }

  // -- Object

  @Override
  public String toString() {
    return name;
  }
}
