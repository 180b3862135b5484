package org.parsleycart.daemon.operator;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * An HTTP request from an operator or from a local upstream.
 *
 * @param segments the path, split at slashes
 * @param body the body as text
 */
record OperatorRequest(
    String method, List<String> segments, Map<String, String> query, String body) {

  OperatorRequest {
    requireNonNull(method, "method is null");
    segments = List.copyOf(segments);
    query = Map.copyOf(query);
    requireNonNull(body, "body is null");
  }

  Optional<String> parameter(String name) {
    return Optional.ofNullable(query.get(name));
  }

  /**
   * Returns a query parameter as a number, or empty if it is absent or not one to eighteen digits.
   */
  Optional<Long> number(String name) {
    return parameter(name).filter(text -> text.matches("[0-9]{1,18}")).map(Long::valueOf);
  }

  String segment(int index) {
    return segments.get(index);
  }
}
