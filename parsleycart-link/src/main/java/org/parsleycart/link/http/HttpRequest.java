package org.parsleycart.link.http;

import static java.util.Objects.requireNonNull;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** An HTTP request with a body held in memory. */
public final class HttpRequest {
  private final String method;
  private final String path;
  private final Map<String, String> headers = new LinkedHashMap<>();
  private byte[] body = new byte[0];

  // -- construction

  private HttpRequest(String method, String path) {
    this.method = requireNonNull(method, "method is null");
    this.path = requireNonNull(path, "path is null");
  }

  /** Creates a request of a method on a path, which may include a query. */
  public static HttpRequest of(String method, String path) {
    return new HttpRequest(method, path);
  }

  public HttpRequest header(String name, String value) {
    headers.put(name, value);
    return this;
  }

  /** Sets the body to a copy of the bytes. */
  public HttpRequest body(byte[] bytes) {
    body = bytes.clone();
    return this;
  }

  /** Sets the body to UTF-8 text. */
  public HttpRequest body(String text) {
    return body(text.getBytes(StandardCharsets.UTF_8));
  }

  // -- queries

  String method() {
    return method;
  }

  String path() {
    return path;
  }

  Map<String, String> headers() {
    return headers;
  }

  byte[] bodyBytes() {
    return body;
  }
}
