package org.parsleycart.daemon.abuse;

import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** What each abusive client sends: a start, then a part that is repeated, in writes of a size. */
enum AbusiveLoad {
  /** Bodies of legal size in one piece, which stop 16 bytes short of their end. */
  WHOLE_BODIES(
      post("Content-Length: " + SeparateDaemon.MAXIMUM_BODY_BYTES),
      "b".repeat(16),
      SeparateDaemon.MAXIMUM_BODY_BYTES / 16 - 1,
      64 * 1024,
      Reading.ALL),
  /** Bodies small enough to be held in memory, in pieces of 50 bytes. */
  SMALL_PIECES(post("Content-Length: 60000"), "b".repeat(50), 60_000 / 50 - 1, 50, Reading.ALL),
  /** Bodies in chunks of one byte without their last chunk. */
  ONE_BYTE_CHUNKS(
      post("Transfer-Encoding: chunked"),
      "1\r\nb\r\n",
      SeparateDaemon.MAXIMUM_BODY_BYTES - 1,
      64 * 1024,
      Reading.ALL),
  /** Bodies of ten times the limit. */
  OVERSIZED_BODIES(
      post("Content-Length: " + 10L * SeparateDaemon.MAXIMUM_BODY_BYTES),
      "b".repeat(1024),
      10 * SeparateDaemon.MAXIMUM_BODY_BYTES / 1024,
      64 * 1024,
      Reading.ALL),
  /** Bodies in chunks that exceed the limit and state no length. */
  OVERSIZED_CHUNKS(
      post("Transfer-Encoding: chunked"),
      "400\r\n" + "b".repeat(1024) + "\r\n",
      10 * SeparateDaemon.MAXIMUM_BODY_BYTES / 1024,
      64 * 1024,
      Reading.ALL),
  /** Requests with heads of legal size that consist of 1,800 fields. */
  MANY_FIELDS("", get(fields(1_800)), 200, 64 * 1024, Reading.ALL),
  /** Pipelined requests whose responses are never read. */
  PIPELINED_REQUESTS("", get(""), 20_000, 64 * 1024, Reading.NONE),
  /** Heads that stop half-way. */
  STOPPED_HEADS("POST /%PATH% HTTP/1.1\r\nHost: 127.0.0.1\r\nX-", "a", 40, 1, Reading.ALL),
  /** Bodies that stop half-way. */
  STOPPED_BODIES(post("Content-Length: 60000"), "b", 400, 1, Reading.ALL),
  /** Large responses of which nothing is read. */
  UNREAD_RESPONSES(
      "", "GET /%LARGE% HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n", 100, 64 * 1024, Reading.NONE),
  /** Large responses of which only the beginning is read. */
  HALF_READ_RESPONSES(
      "", "GET /%LARGE% HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n", 100, 64 * 1024, Reading.BEGINNING),
  /** One whole request with 500 parameters. */
  MANY_PARAMETERS(
      "GET /%PATH%" + parameters(500) + " HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n",
      "",
      0,
      64 * 1024,
      Reading.ALL),
  /** Heads with 900 parameters that stop before their last empty line. */
  UNFINISHED_PARAMETERS(
      "GET /%PATH%" + parameters(900) + " HTTP/1.1\r\nHost: 127.0.0.1\r\n",
      "",
      0,
      64 * 1024,
      Reading.ALL),
  /** Heads with 15 KB in 190 fields that stop before their last empty line. */
  UNFINISHED_FIELDS(
      "GET /%PATH% HTTP/1.1\r\nHost: 127.0.0.1\r\n" + longFields(190),
      "",
      0,
      64 * 1024,
      Reading.ALL),
  /** Five requests at once, whose responses are never read. */
  SENT_AHEAD("", get(""), 5, 64 * 1024, Reading.NONE),
  /** Empty lines without end before a request. */
  EMPTY_LINES("", "\r\n".repeat(512), Integer.MAX_VALUE, 1024, Reading.ALL),
  /** Bare line feeds without end before a request. */
  BARE_LINE_FEEDS("", "\n".repeat(1024), Integer.MAX_VALUE, 1024, Reading.ALL),
  /** Some empty lines and nothing behind them. */
  STOPPED_LINES("\r\n".repeat(40), "", 0, 1024, Reading.ALL),
  /** Connections over which nothing is sent. */
  SILENT("", "", 0, 1, Reading.ALL);

  /** How much of the responses a client reads. */
  enum Reading {
    NONE(0),
    BEGINNING(100_000),
    ALL(Long.MAX_VALUE);

    private final long bytes;

    Reading(long bytes) {
      this.bytes = bytes;
    }

    long bytes() {
      return bytes;
    }
  }

  private final String start;
  private final String part;
  private final int repetitions;
  private final int bytesPerWrite;
  private final Reading reading;

  AbusiveLoad(String start, String part, int repetitions, int bytesPerWrite, Reading reading) {
    this.start = start;
    this.part = part;
    this.repetitions = repetitions;
    this.bytesPerWrite = bytesPerWrite;
    this.reading = reading;
  }

  private static String post(String length) {
    return "POST /%PATH% HTTP/1.1\r\nHost: 127.0.0.1\r\n" + length + "\r\n\r\n";
  }

  private static String get(String fields) {
    return "GET /%PATH% HTTP/1.1\r\nHost: 127.0.0.1\r\n" + fields + "\r\n";
  }

  private static String fields(int count) {
    return IntStream.range(0, count)
        .mapToObj(index -> Integer.toString(index, 36) + ":a\r\n")
        .collect(Collectors.joining());
  }

  private static String parameters(int count) {
    return IntStream.range(0, count)
        .mapToObj(index -> "p" + index + "=v")
        .collect(Collectors.joining("&", "?", ""));
  }

  private static String longFields(int count) {
    return IntStream.range(0, count)
        .mapToObj(index -> "x" + index + ": " + "v".repeat(72) + "\r\n")
        .collect(Collectors.joining());
  }

  // -- queries

  String startFor(String path, String largePath) {
    return fill(start, path, largePath);
  }

  String partFor(String path, String largePath) {
    return fill(part, path, largePath);
  }

  private static String fill(String text, String path, String largePath) {
    return text.replace("/%PATH%", path).replace("/%LARGE%", largePath);
  }

  int repetitions() {
    return repetitions;
  }

  int bytesPerWrite() {
    return bytesPerWrite;
  }

  Reading reading() {
    return reading;
  }
}
