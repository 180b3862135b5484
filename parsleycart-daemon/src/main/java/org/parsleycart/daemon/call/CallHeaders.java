package org.parsleycart.daemon.call;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/** The headers that the mesh adds to calls, and the rules for forwarding all other headers. */
final class CallHeaders {
  static final String PREFIX = "x-parsleycart-";
  static final HttpString REQUEST_IDENTIFIER = new HttpString(PREFIX + "request-identifier");
  static final HttpString UPSTREAM = new HttpString(PREFIX + "upstream");
  static final HttpString ROUTE = new HttpString(PREFIX + "route");
  static final HttpString ORGANISATION = new HttpString(PREFIX + "organisation");
  static final HttpString DEADLINE = new HttpString(PREFIX + "deadline-milliseconds");
  static final HttpString SIGNATURE = new HttpString(PREFIX + "signature");
  static final HttpString OUTCOME = new HttpString(PREFIX + "outcome");
  static final HttpString REASON = new HttpString(PREFIX + "reason");
  static final HttpString LOAD = new HttpString(PREFIX + "load");

  /** How long calls take at an upstream, apart from the load, which earlier daemons parse whole. */
  static final HttpString PACE = new HttpString(PREFIX + "pace");

  /** States that an upstream makes the call while it runs another, which needs it. */
  static final HttpString NESTED = new HttpString(PREFIX + "nested");

  static final HttpString ZONE = new HttpString(PREFIX + "zone");
  static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");
  static final HttpString IDEMPOTENCY_ATTEMPT = new HttpString("Idempotency-Attempt");
  static final HttpString TRACE_PARENT = new HttpString("traceparent");

  private static final Pattern MILLISECONDS = Pattern.compile("[0-9]{1,9}");

  private static final Set<HttpString> HOP_BY_HOP =
      Set.of(
          Headers.CONNECTION,
          new HttpString("Keep-Alive"),
          Headers.PROXY_AUTHENTICATE,
          Headers.PROXY_AUTHORIZATION,
          new HttpString("Proxy-Connection"),
          Headers.TE,
          Headers.TRAILER,
          Headers.TRANSFER_ENCODING,
          Headers.UPGRADE,
          Headers.EXPECT);

  private CallHeaders() {}

  /** Copies the end-to-end headers. Mesh headers and hop-by-hop headers are not copied. */
  static void copyEndToEnd(HeaderMap source, HeaderMap target) {
    copyEndToEnd(source, target, Set.of());
  }

  /** Copies the end-to-end headers other than the excluded ones. */
  static void copyEndToEnd(HeaderMap source, HeaderMap target, Set<HttpString> excluded) {
    Set<HttpString> connectionHeaders = listedInConnectionHeader(source);
    for (HeaderValues values : source) {
      HttpString name = values.getHeaderName();
      boolean isHopByHop = HOP_BY_HOP.contains(name) || connectionHeaders.contains(name);
      if (!isHopByHop && !excluded.contains(name) && !isMeshHeader(name)) {
        target.addAll(name, values);
      }
    }
  }

  /** Returns the duration that a header states in milliseconds, empty if missing or malformed. */
  static Optional<Duration> milliseconds(HeaderMap headers, HttpString name) {
    return Optional.ofNullable(headers.getFirst(name))
        .filter(text -> MILLISECONDS.matcher(text).matches())
        .map(text -> Duration.ofMillis(Long.parseLong(text)));
  }

  /** Adds the trace context of a call, unless it is empty. */
  static void putTraceParent(Map<HttpString, String> headers, String traceParent) {
    if (!traceParent.isEmpty()) {
      headers.put(TRACE_PARENT, traceParent);
    }
  }

  /** Returns whether the header is reserved for the mesh. Callers may not set such headers. */
  static boolean isMeshHeader(HttpString name) {
    return name.toString().regionMatches(true, 0, PREFIX, 0, PREFIX.length());
  }

  private static Set<HttpString> listedInConnectionHeader(HeaderMap source) {
    HeaderValues connection = source.get(Headers.CONNECTION);
    if (connection == null) {
      return Set.of();
    }
    Set<HttpString> connectionHeaders = new HashSet<>();
    connection.stream()
        .flatMap(value -> Arrays.stream(value.split(",", -1)))
        .map(String::trim)
        .filter(name -> !name.isEmpty())
        .forEach(name -> connectionHeaders.add(new HttpString(name)));
    return connectionHeaders;
  }
}
