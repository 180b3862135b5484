package org.parsleycart.daemon.call;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.regex.Pattern;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.model.CallerLimits;

/** Detects requests that could be read in different ways, or that exceed a size limit. */
final class RequestValidation {
  private static final Pattern ENCODED_SLASH = Pattern.compile("(?i)%2f|\\\\");
  private static final Pattern DOT_SEGMENT =
      Pattern.compile("(?i)(?:^|/|%2f|\\\\)\\.{1,2}(?:$|/|%2f|\\\\)");

  private RequestValidation() {}

  /**
   * Returns the reason to refuse a request, empty if the request is acceptable.
   *
   * @param limits the configured limits for callers
   * @param maximumBodyBytes upper bound on the body size in bytes, regardless of the limits
   */
  static Optional<RefusalReason> refusalReason(
      HttpServerExchange exchange, CallerLimits limits, long maximumBodyBytes) {
    HeaderMap headers = exchange.getRequestHeaders();
    if (hasControlCharacter(headers)) {
      return Optional.of(RefusalReason.BAD_REQUEST);
    }
    HeaderValues lengths = headers.get(Headers.CONTENT_LENGTH);
    HeaderValues encodings = headers.get(Headers.TRANSFER_ENCODING);
    if (lengths != null && (lengths.size() > 1 || encodings != null)) {
      return Optional.of(RefusalReason.BAD_REQUEST);
    }
    if (lengths != null && !lengths.getFirst().matches("[0-9]{1,18}")) {
      return Optional.of(RefusalReason.BAD_REQUEST);
    }
    if (encodings != null && !isChunkedOnly(encodings)) {
      return Optional.of(RefusalReason.BAD_REQUEST);
    }
    long allowedBodyBytes = Math.min(limits.bodyBytes().orElse(maximumBodyBytes), maximumBodyBytes);
    if (exchange.getRequestContentLength() > allowedBodyBytes) {
      return Optional.of(RefusalReason.TOO_LARGE);
    }
    boolean hasOversizedHeaders =
        limits.headerBytes().isPresent() && sizeInBytes(headers) > limits.headerBytes().getAsLong();
    return hasOversizedHeaders ? Optional.of(RefusalReason.HEADERS_TOO_LARGE) : Optional.empty();
  }

  /** Returns whether a field has a control character other than a tab (RFC 9110, section 5.5). */
  private static boolean hasControlCharacter(HeaderMap headers) {
    for (HeaderValues values : headers) {
      boolean isFound =
          values.stream()
              .flatMapToInt(String::chars)
              .anyMatch(character -> character < ' ' && character != '\t');
      if (isFound) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the path without dot segments (RFC 3986, section 5.2.4). An encoded slash separates
   * segments too, as it does for an upstream that decodes it first.
   */
  static String withoutDotSegments(String path) {
    Deque<String> segments = new ArrayDeque<>();
    for (String segment : ENCODED_SLASH.matcher(path).replaceAll("/").split("/", -1)) {
      if (segment.equals("..")) {
        segments.pollLast();
      } else if (!segment.equals(".")) {
        segments.addLast(segment);
      }
    }
    String joined = String.join("/", segments);
    return joined.startsWith("/") ? joined : "/" + joined;
  }

  /** Returns whether a path has dot segments. */
  static boolean hasDotSegments(String path) {
    return DOT_SEGMENT.matcher(path).find();
  }

  private static long sizeInBytes(HeaderMap headers) {
    long total = 0;
    for (HeaderValues values : headers) {
      int nameLength = values.getHeaderName().length();
      total += values.stream().mapToInt(value -> nameLength + value.length()).sum();
    }
    return total;
  }

  private static boolean isChunkedOnly(HeaderValues encodings) {
    return encodings.size() == 1 && encodings.getFirst().equalsIgnoreCase("chunked");
  }
}
