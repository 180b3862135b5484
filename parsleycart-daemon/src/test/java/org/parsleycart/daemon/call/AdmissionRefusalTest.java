package org.parsleycart.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.parsleycart.daemon.TestMesh;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.link.PeerKeys;
import org.parsleycart.link.http.HttpRequest;
import org.parsleycart.link.http.HttpResponse;

/** Checks that a daemon refuses the calls of an entry with an outdated view of the mesh. */
class AdmissionRefusalTest {
  private static final String CONFIGURATION =
      """
      zones: [{name: abdali}]
      contracts: [{name: read, kind: interactive-read, deadline: 2s}]
      services: [{name: ledger, version: v1}]
      routes: [{name: read, pathPrefix: /read, service: ledger, contract: read}]
      """;
  private TestMesh mesh;
  private ScriptedUpstream upstream;

  @BeforeEach
  void start() throws IOException {
    mesh = TestMesh.start("abdali");
    mesh.apply(CONFIGURATION);
    upstream = new ScriptedUpstream();
    mesh.announce(mesh.member(0), "u0", "ledger", "v1", upstream.address());
  }

  @AfterEach
  void stop() throws IOException {
    mesh.close();
    upstream.close();
  }

  /** Sends a signed call, as the entry of another daemon does. */
  private HttpResponse callAsEntry() {
    return callAsEntry("read");
  }

  private HttpResponse callAsEntry(String route) {
    CallSigner signer = new CallSigner(PeerKeys.of(List.of("test-key-0123456789")));
    return mesh.send(
        mesh.member(0).daemons(),
        HttpRequest.of("GET", "/read")
            .header("X-Parsleycart-Upstream", "u0")
            .header("X-Parsleycart-Route", route)
            .header("X-Parsleycart-Request-Identifier", "r1")
            .header("X-Parsleycart-Deadline-Milliseconds", "1000")
            .header("X-Parsleycart-Signature", signer.sign("r1", "u0", route, Optional.empty())));
  }

  private void postToOperators(String path) {
    HttpResponse response = mesh.send(mesh.member(0).operators(), HttpRequest.of("POST", path));
    assertThat(response.status()).isEqualTo(200);
  }

  @Test
  void shouldRefuseAsNotRunWhenZoneIsWithdrawn() {
    assertThat(callAsEntry().status()).isEqualTo(200);
    postToOperators("/zones/abdali/withdraw?force=true");

    HttpResponse refused = callAsEntry();

    assertThat(refused.header("x-parsleycart-outcome")).contains("not-run");
    assertThat(refused.header("x-parsleycart-reason")).contains("zone-withdrawn");
    assertThat(upstream.requests()).isEqualTo(1);
  }

  /** The entry must try another daemon, and not conclude that the route does not exist. */
  @Test
  void shouldRefuseAsOutdatedWhenRouteIsUnknown() {
    HttpResponse refused = callAsEntry("added-later");

    assertThat(refused.header("x-parsleycart-outcome")).contains("not-run");
    assertThat(refused.header("x-parsleycart-reason")).contains("behind");
    assertThat(RefusalReason.OUTDATED_CONFIGURATION.requiresOtherUpstream()).isTrue();
    assertThat(RefusalReason.OUTDATED_CONFIGURATION.statusCode()).isEqualTo(503);
  }

  @Test
  void shouldRefuseAsDrainingWhenUpstreamIsDraining() {
    postToOperators("/upstreams/u0/drain");

    assertThat(callAsEntry().header("x-parsleycart-reason")).contains("draining");
    assertThat(upstream.requests()).isZero();
  }

  /** Guards against an upstream that gets more calls than it has stated to take. */
  @Test
  void shouldRefuseAsRateLimitedWhenUpstreamStatesALowerRate() {
    upstream.respondWith(
        "HTTP/1.1 200 OK\r\nX-Parsleycart-Calls-Per-Second: 0\r\nContent-Length: 0\r\n\r\n", false);
    assertThat(callAsEntry().status()).isEqualTo(200);

    HttpResponse refused = callAsEntry();

    assertThat(refused.header("x-parsleycart-outcome")).contains("not-run");
    assertThat(refused.header("x-parsleycart-reason")).contains("rate-limited");
    assertThat(upstream.requests()).isEqualTo(1);
  }

  /** Guards against calls to an upstream that has stated in an answer that it leaves. */
  @Test
  void shouldRefuseAsDrainingWhenUpstreamStatesThatItLeaves() {
    upstream.respondWith(
        "HTTP/1.1 200 OK\r\nX-Parsleycart-Leaving: true\r\nContent-Length: 0\r\n\r\n", false);
    assertThat(callAsEntry().status()).isEqualTo(200);

    assertThat(callAsEntry().header("x-parsleycart-reason")).contains("draining");
    assertThat(upstream.requests()).isEqualTo(1);
  }
}
