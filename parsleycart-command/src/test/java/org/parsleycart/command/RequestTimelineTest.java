package org.parsleycart.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class RequestTimelineTest {
  private static final String REFUSED =
      "  3.1 sidecar-a {\"time\":\"2026-01-01T00:00:03.1Z\",\"event\":\"admission-refused\","
          + "\"request\":\"r1\",\"upstream\":\"u1\",\"reason\":\"cold\"}";
  private static final String ENDED =
      "{\"time\":\"2026-01-01T00:00:03.2Z\",\"event\":\"call-ended\",\"request\":\"r1\","
          + "\"upstreams\":\"u1,u2\",\"status\":503}";
  private static final String NESTED =
      "{\"time\":\"2026-01-01T00:00:03.15Z\",\"event\":\"call-ended\",\"request\":\"r1.n1\"}";
  private static final String OTHER_REQUEST =
      "{\"time\":\"2026-01-01T00:00:03Z\",\"event\":\"call-ended\",\"request\":\"r12\"}";

  private static String state(String time, String message) {
    return "{\"time\":\"" + time + "\",\"event\":\"state\",\"message\":\"" + message + "\"}";
  }

  private static List<String> timeline(String... logLines) {
    List<LogLine> lines =
        Stream.of(logLines).flatMap(text -> LogLine.parse("log", text).stream()).toList();
    return RequestTimeline.of("r1", lines).lines().stream()
        .map(line -> line.origin() + " " + line.event() + " " + line.details())
        .toList();
  }

  @Test
  void shouldOrderLinesByTimeWhenSeveralProcessesLogged() {
    assertThat(timeline(ENDED, OTHER_REQUEST, REFUSED))
        .containsExactly(
            "3.1 sidecar-a admission-refused request=r1 upstream=u1 reason=cold",
            "log call-ended request=r1 upstreams=u1,u2 status=503");
  }

  @Test
  void shouldIncludeNestedCallsWhenUpstreamMadeThem() {
    assertThat(timeline(NESTED, ENDED)).hasSize(2).first().asString().contains("r1.n1");
  }

  @Test
  void shouldIncludeStateChangesWhenUpstreamServedRequest() {
    String recentChange = state("2026-01-01T00:00:01Z", "upstream u2 has left");
    String earlyChange = state("2025-12-31T23:59:00Z", "upstream u2 is ready");
    String otherUpstreamChange = state("2026-01-01T00:00:01Z", "upstream u3 has left");

    assertThat(timeline(ENDED, recentChange, earlyChange, otherUpstreamChange))
        .hasSize(2)
        .first()
        .asString()
        .contains("u2 has left");
  }

  @Test
  void shouldBeEmptyWhenNoLineNamesTheRequest() {
    assertThat(timeline(OTHER_REQUEST, "no structured line", "{broken")).isEmpty();
  }
}
