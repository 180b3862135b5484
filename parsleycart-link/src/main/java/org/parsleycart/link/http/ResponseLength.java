package org.parsleycart.link.http;

import java.util.OptionalLong;

/** What the head of one response says about the length of its body (RFC 9112, section 6.3). */
final class ResponseLength {
  private static final String CHUNKED = "chunked";
  private static final int DECIMAL = 10;

  private OptionalLong contentLength = OptionalLong.empty();
  private boolean isChunked;

  // -- events

  /**
   * Records a value of {@code Content-Length}. A repeated field counts once if its values are
   * equal.
   */
  void addContentLength(String value) throws MalformedResponseException {
    long length = parse(value);
    if (contentLength.isPresent() && contentLength.getAsLong() != length) {
      throw new MalformedResponseException("two lengths that differ");
    }
    contentLength = OptionalLong.of(length);
  }

  private static long parse(String value) throws MalformedResponseException {
    if (value.isEmpty() || !value.chars().allMatch(Octets::isDigit)) {
      throw new MalformedResponseException("a length that is no number");
    }
    long length = 0;
    for (int index = 0; index < value.length(); index++) {
      if (length > (Long.MAX_VALUE - DECIMAL) / DECIMAL) {
        throw new MalformedResponseException("a length that is too large");
      }
      length = length * DECIMAL + Octets.digit(value.charAt(index));
    }
    return length;
  }

  /**
   * Records a value of {@code Transfer-Encoding}. No request asks for a coding, so that {@code
   * chunked} is the only one in which a body may be.
   */
  void addTransferCoding(String value) throws MalformedResponseException {
    if (isChunked || !CHUNKED.equalsIgnoreCase(value)) {
      throw new MalformedResponseException("a transfer coding other than chunked");
    }
    isChunked = true;
  }

  // -- queries

  /** Returns whether the body is in chunks, which override a length. */
  boolean isChunked() {
    return isChunked;
  }

  /** Returns the length of the body in bytes, empty if the head does not state it. */
  OptionalLong contentLength() {
    return contentLength;
  }
}
