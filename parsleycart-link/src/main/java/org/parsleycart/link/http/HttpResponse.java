package org.parsleycart.link.http;

import static java.util.Objects.requireNonNull;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** A complete HTTP response. */
public final class HttpResponse {
  private final int status;
  private final Map<String, String> headers;
  private final byte[] body;

  // -- construction

  HttpResponse(int status, Map<String, String> headers, byte[] body) {
    this.status = status;
    this.headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    this.headers.putAll(headers);
    this.body = requireNonNull(body, "body is null");
  }

  // -- queries

  public int status() {
    return status;
  }

  /** Returns the first value of a header; the name is not case-sensitive. */
  public Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name));
  }

  /** Returns a copy of the body. */
  public byte[] body() {
    return body.clone();
  }

  /** Returns the body as UTF-8 text. */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }
}
