package org.parsleycart.daemon.call;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import java.util.Optional;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.model.CallerLimits;

/** Detects requests with an ambiguous length, and requests that exceed a size limit. */
final class RequestValidation {
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
