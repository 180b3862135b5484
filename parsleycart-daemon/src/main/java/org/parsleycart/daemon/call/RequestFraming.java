package org.parsleycart.daemon.call;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import java.util.Optional;
import org.parsleycart.decision.admission.RefusalReason;

/** Refuses requests whose length can be read in two ways or exceeds the limit. */
final class RequestFraming {
  private RequestFraming() {}

  /** Returns why the request is refused, if it is. */
  static Optional<RefusalReason> fault(HttpServerExchange exchange, long maximumBodyBytes) {
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
    return exchange.getRequestContentLength() > maximumBodyBytes
        ? Optional.of(RefusalReason.TOO_LARGE)
        : Optional.empty();
  }

  private static boolean isChunkedOnly(HeaderValues encodings) {
    return encodings.size() == 1 && encodings.getFirst().equalsIgnoreCase("chunked");
  }
}
