package org.parsleycart.daemon.call;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.parsleycart.link.dialect.CallHeaderNames;

/** The key in the headers of a request, and the removal of headers that only the mesh may set. */
final class CallerCredentials {
  private static final String SCHEME = "Bearer ";

  private CallerCredentials() {}

  // -- reading

  /**
   * Returns the key of a caller, empty if it is missing or malformed. Of several keys none is
   * returned, because receivers could disagree about which one counts.
   */
  static Optional<String> key(HeaderMap headers) {
    HeaderValues values = headers.get(Headers.AUTHORIZATION);
    if (values == null || values.size() != 1) {
      return Optional.empty();
    }
    String value = values.getFirst();
    if (!value.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
      return Optional.empty();
    }
    String key = value.substring(SCHEME.length()).strip();
    // The server decodes each byte of a header as one character.
    return Optional.of(
        new String(key.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8));
  }

  // -- removal

  /** Removes the key and the name of an organisation from the headers of a received request. */
  static void remove(HeaderMap headers, CallHeaderNames names) {
    headers.remove(Headers.AUTHORIZATION);
    headers.remove(names.organisation());
  }
}
