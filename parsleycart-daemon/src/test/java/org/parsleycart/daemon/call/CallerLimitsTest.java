package org.parsleycart.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.parsleycart.daemon.TestMesh;
import org.parsleycart.link.Addresses;
import org.parsleycart.link.http.HttpRequest;
import org.parsleycart.link.http.HttpResponse;

/** Checks the configured limits on what callers send and how long they stay idle. */
class CallerLimitsTest {
  private static final String CONFIGURATION =
      """
      zones: [{name: abdali}]
      contracts: [{name: write, kind: non-idempotent-write, deadline: 2s}]
      services: [{name: ledger, version: v1}]
      routes: [{name: write, pathPrefix: /write, service: ledger, contract: write}]
      callerLimits: [{name: callers, headerBytes: 2000, bodyBytes: 100, idleTimeout: 300ms}]
      """;

  private static final int READ_TIMEOUT_MILLISECONDS = (int) Duration.ofSeconds(30).toMillis();

  private static TestMesh mesh;
  private static ScriptedUpstream upstream;

  @BeforeAll
  static void start() throws IOException {
    mesh = TestMesh.start("abdali");
    mesh.apply(CONFIGURATION);
    upstream = new ScriptedUpstream();
    mesh.announce(mesh.member(0), "u0", "ledger", "v1", upstream.address());
    mesh.awaitUpstreams(mesh.member(0), "ledger v1 abdali", 1);
    upstream.respondWith(ScriptedUpstream.ok("fine"), false);
  }

  @AfterAll
  static void stop() throws IOException {
    mesh.close();
    upstream.close();
  }

  private static HttpResponse send(HttpRequest call) {
    return mesh.send(mesh.member(0).callers(), call);
  }

  @Test
  void shouldServeRequestWhenItIsWithinTheLimits() {
    assertThat(send(HttpRequest.of("POST", "/write").body("x".repeat(100))).status())
        .isEqualTo(200);
  }

  @Test
  void shouldRefuseBodyWhenItExceedsTheLimit() {
    assertThat(send(HttpRequest.of("POST", "/write").body("x".repeat(101))).status())
        .isEqualTo(413);
  }

  @Test
  void shouldRefuseHeadersWhenTheyExceedTheLimit() {
    HttpRequest call = HttpRequest.of("GET", "/write").header("x-large", "y".repeat(2000));

    assertThat(send(call).status()).isEqualTo(431);
  }

  @Test
  void shouldCloseConnectionWhenItIsIdleTooLong() throws IOException {
    InetSocketAddress address = Addresses.parse(mesh.member(0).callers()).orElseThrow();
    try (Socket idle = new Socket(address.getAddress(), address.getPort())) {
      idle.setSoTimeout(READ_TIMEOUT_MILLISECONDS);

      assertThat(idle.getInputStream().read()).isEqualTo(-1);
    }
  }
}
