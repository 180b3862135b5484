package org.parsleycart.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.parsleycart.daemon.TestMesh;
import org.parsleycart.link.http.HttpRequest;
import org.parsleycart.link.http.HttpResponse;

/**
 * Guards against responses that reach a caller as answers though their status is that of no final
 * answer, and against connections of callers that such a status closes.
 */
class StatusOfNoAnswerTest {
  private static final String CONFIGURATION =
      """
      zones: [{name: abdali}, {name: marka}]
      contracts:
        - {name: read, kind: interactive-read, deadline: 2s}
        - {name: write, kind: non-idempotent-write, deadline: 2s}
      services: [{name: ledger, version: v1}]
      routes:
        - {name: read, pathPrefix: /read, service: ledger, contract: read}
        - {name: write, pathPrefix: /write, service: ledger, contract: write}
      """;

  private static final List<String> STATUS_LINES =
      List.of("000 Trouble", "000", "007 Trouble", "099 Low", "600 High", "999 High", "1000 Long");

  private static TestMesh mesh;
  private static ScriptedUpstream upstream;

  @BeforeAll
  static void start() throws IOException {
    mesh = TestMesh.start("abdali", "marka");
    mesh.apply(CONFIGURATION);
    upstream = new ScriptedUpstream();
    mesh.announce(mesh.member(0), "u0", "ledger", "v1", upstream.address());
    mesh.awaitUpstreams(mesh.member(0), "ledger v1 abdali", 1);
    mesh.awaitUpstreams(mesh.member(1), "ledger v1 abdali", 1);
  }

  @AfterAll
  static void stop() throws IOException {
    mesh.close();
    upstream.close();
  }

  /** Member 0 is beside the upstream, member 1 needs two hops. */
  private static Stream<Arguments> membersAndResponses() {
    return Stream.of(0, 1)
        .flatMap(
            member ->
                STATUS_LINES.stream()
                    .flatMap(
                        status ->
                            Stream.of(true, false)
                                .map(isKept -> Arguments.of(member, status, isKept))));
  }

  private static HttpResponse call(String method, String path, int member) {
    return mesh.send(mesh.member(member).callers(), HttpRequest.of(method, path));
  }

  private static void respondWith(String statusLine, boolean isKept) {
    upstream.respondWith("HTTP/1.1 " + statusLine + "\r\nContent-Length: 4\r\n\r\nbody", !isKept);
  }

  private static void assertUnknown(HttpResponse response) {
    assertThat(response.header("x-parsleycart-outcome")).contains("unknown");
    assertThat(response.status()).isIn(502, 504);
  }

  @ParameterizedTest
  @MethodSource("membersAndResponses")
  void shouldReportUnknownWhenReadHasNoFinalStatus(int member, String statusLine, boolean isKept) {
    respondWith(statusLine, isKept);

    assertUnknown(call("GET", "/read", member));
  }

  @ParameterizedTest
  @MethodSource("membersAndResponses")
  void shouldReportUnknownAndRunOnceWhenWriteHasNoFinalStatus(
      int member, String statusLine, boolean isKept) {
    respondWith(statusLine, isKept);
    int before = upstream.requests();

    assertUnknown(call("POST", "/write", member));
    assertThat(upstream.requests()).isEqualTo(before + 1);
  }
}
