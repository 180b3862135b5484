package org.parsleycart.daemon.operator;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A request of an operator or an upstream.
 *
 * @param method the HTTP method
 * @param segments the path, divided at slashes
 * @param query the query parameters
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

  Optional<Long> number(String name) {
    return parameter(name).filter(text -> text.matches("[0-9]{1,18}")).map(Long::valueOf);
  }

  String segment(int index) {
    return segments.get(index);
  }
}
