package org.parsleycart.link.http;

/** A response is not one of HTTP/1.1 (RFC 9110 and RFC 9112), so that nothing in it is believed. */
public final class MalformedResponseException extends UnusableResponseException {
  private static final long serialVersionUID = 1;

  MalformedResponseException(String fault) {
    super("malformed response: " + fault);
  }
}
