package org.parsleycart.decision.pipeline;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.util.Objects.requireNonNull;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.OptionalInt;
import java.util.Set;

/**
 * Finds the end of the head of a safe request without a body in the bytes of a connection.
 *
 * <p>Only plain heads are found: GET or HEAD, HTTP/1.1, lines that end with CRLF, no folded lines,
 * and no field that changes how the connection goes on. For any other head the connection is left
 * to the server, which decides where the request ends.
 */
public final class SafeRequestHead {
  private static final String END = "\r\n\r\n";
  private static final List<String> METHODS = List.of("GET ", "HEAD ");
  private static final String VERSION = " HTTP/1.1";

  private static final Set<String> EXCLUDED_FIELDS =
      Set.of("connection", "content-length", "expect", "transfer-encoding", "upgrade");

  private SafeRequestHead() {}

  /**
   * Returns the number of bytes of the head at the position of a buffer, which is not changed.
   * Returns empty if there is no complete head, or if it is not that of a plain safe request.
   */
  public static OptionalInt lengthIn(ByteBuffer buffer) {
    requireNonNull(buffer, "buffer is null");
    if (!beginsWithMethod(buffer)) {
      return OptionalInt.empty();
    }
    String text = ISO_8859_1.decode(buffer.duplicate()).toString();
    int end = text.indexOf(END);
    return end >= 0 && isPlain(text.substring(0, end))
        ? OptionalInt.of(end + END.length())
        : OptionalInt.empty();
  }

  private static boolean beginsWithMethod(ByteBuffer buffer) {
    return METHODS.stream()
        .map(method -> ByteBuffer.wrap(method.getBytes(ISO_8859_1)))
        .anyMatch(
            method ->
                buffer.remaining() >= method.remaining()
                    && buffer.slice(buffer.position(), method.remaining()).equals(method));
  }

  private static boolean isPlain(String head) {
    List<String> lines = Arrays.asList(head.split("\r\n", -1));
    return lines.get(0).endsWith(VERSION)
        && lines.stream().noneMatch(line -> line.indexOf('\n') >= 0 || line.indexOf('\r') >= 0)
        && lines.stream().skip(1).allMatch(SafeRequestHead::isPlainField);
  }

  private static boolean isPlainField(String line) {
    int colon = line.indexOf(':');
    return colon > 0
        && line.substring(0, colon).chars().allMatch(character -> character > ' ')
        && !EXCLUDED_FIELDS.contains(line.substring(0, colon).toLowerCase(Locale.ROOT));
  }
}
