package org.parsleycart.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.parsleycart.link.http.HttpRequest;
import org.parsleycart.link.http.HttpResponse;
import org.parsleycart.platform.standin.StoreFault;
import org.parsleycart.standin.UpstreamStandin;

/**
 * Tests several real daemons together: zone withdrawal, platform outages, graceful shutdown and
 * crashes.
 */
class MeshTest {
  private static final String CONFIGURATION =
      """
      zones: [{name: abdali}, {name: marka}]
      contracts: [{name: read, kind: interactive-read, deadline: 2s}]
      services: [{name: ledger, version: v1}]
      routes: [{name: read, pathPrefix: /read, service: ledger, contract: read}]
      """;
  private TestMesh mesh;
  private UpstreamStandin abdaliUpstream;
  private UpstreamStandin markaUpstream;

  @BeforeEach
  void start() throws IOException {
    mesh = TestMesh.start("abdali", "marka");
    mesh.apply(CONFIGURATION);
    abdaliUpstream = startUpstream("abdali");
    markaUpstream = startUpstream("marka");
    mesh.announce(mesh.member(0), "u-abdali", "ledger", "v1", abdaliUpstream.address());
    mesh.announce(mesh.member(1), "u-marka", "ledger", "v1", markaUpstream.address());
    awaitUpstreamsInBothZones(1, 1);
  }

  @AfterEach
  void stop() {
    mesh.close();
    abdaliUpstream.close();
    markaUpstream.close();
  }

  private static UpstreamStandin startUpstream(String name) {
    return UpstreamStandin.start(
        name,
        "v1",
        UpstreamStandin.warmModel(8, Duration.ofMillis(5)),
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  private void awaitUpstreamsInBothZones(int abdaliCount, int markaCount) {
    for (int member = 0; member < 2; member++) {
      mesh.awaitUpstreams(mesh.member(member), "ledger v1 abdali", abdaliCount);
      mesh.awaitUpstreams(mesh.member(member), "ledger v1 marka", markaCount);
    }
  }

  private HttpResponse call(int member) {
    return mesh.send(mesh.member(member).callers(), HttpRequest.of("GET", "/read"));
  }

  private HttpResponse operate(int member, String methodAndPath) {
    String[] parts = methodAndPath.split(" ", 2);
    return mesh.send(mesh.member(member).operators(), HttpRequest.of(parts[0], parts[1]));
  }

  @Test
  void shouldAvoidAWithdrawnZoneAndStartItColdWhenItReturns() {
    assertThat(call(0).header("x-upstream")).contains("abdali");

    assertThat(operate(1, "POST /zones/abdali/withdraw").status()).isEqualTo(200);
    awaitUpstreamsInBothZones(0, 1);

    assertThat(call(0).header("x-upstream")).contains("marka");
    assertThat(operate(0, "GET /status").text())
        .contains("{\"name\":\"abdali\",\"withdrawn\":true}");

    assertThat(operate(0, "POST /zones/abdali/return").status()).isEqualTo(200);
    awaitUpstreamsInBothZones(1, 1);

    // The daemon in the returned zone may refuse calls for a moment after the entry daemons have
    // begun to route to it. Such a call is sent to the other zone and succeeds.
    mesh.await(
        () -> {
          HttpResponse response = call(0);
          assertThat(response.status()).isEqualTo(200);
          return response.header("x-upstream").equals(Optional.of("abdali"));
        });
    // A cold upstream has a limit of 2. The call answered last may still count as running.
    assertThat(operate(0, "GET /status").text()).containsPattern("\"load\":\"[01]/2 cold\"");
  }

  @Test
  void shouldRefuseToWithdrawTheLastZoneWhenNotForced() {
    operate(0, "POST /zones/abdali/withdraw");
    awaitUpstreamsInBothZones(0, 1);

    HttpResponse refusal = operate(0, "POST /zones/marka/withdraw");

    assertThat(refusal.status()).isEqualTo(409);
    assertThat(refusal.text()).contains("ledger: 0 slots in use, 0 slots outside marka");
    assertThat(operate(0, "POST /zones/marka/withdraw?force=true").status()).isEqualTo(200);
    awaitUpstreamsInBothZones(0, 0);
    assertThat(call(0).header("x-parsleycart-outcome")).contains("not-run");
  }

  @Test
  void shouldWithdrawAtOnceAndPersistLaterWhenThePlatformIsDown() {
    mesh.platform().setFault(StoreFault.DOWN);

    HttpResponse response = operate(0, "POST /zones/abdali/withdraw");

    assertThat(response.text()).contains("\"provisional\":true");
    awaitUpstreamsInBothZones(0, 1);
    mesh.platform().setFault(StoreFault.NONE);
    mesh.await(() -> operate(1, "GET /configuration").text().contains("\"zone-abdali\""));
    assertThat(operate(0, "GET /status").text())
        .contains("{\"name\":\"abdali\",\"withdrawn\":true}");
  }

  @Test
  void shouldRefuseNewCallsWhenIsolatedFromOtherZonesAndThePlatform() {
    mesh.platform().setFault(StoreFault.DOWN);
    mesh.member(1).daemon().kill();

    mesh.await(() -> call(0).header("x-parsleycart-reason").orElse("").equals("isolated"));
    assertThat(call(0).header("x-parsleycart-outcome")).contains("not-run");

    mesh.platform().setFault(StoreFault.NONE);
    mesh.await(() -> call(0).status() == 200);
  }

  @Test
  void shouldKeepOneWithdrawalWhenTwoOperatorsRaceAndADaemonCrashes() {
    CompletableFuture<HttpResponse> otherResponse =
        CompletableFuture.supplyAsync(() -> operate(1, "POST /zones/abdali/withdraw"));
    HttpResponse ownResponse = operate(0, "POST /zones/abdali/withdraw");

    assertThat(ownResponse.status()).isEqualTo(200);
    assertThat(otherResponse.join().status()).isEqualTo(200);
    mesh.member(1).daemon().kill();
    mesh.awaitUpstreams(mesh.member(0), "ledger v1 abdali", 0);
    assertThat(operate(0, "GET /configuration").text()).contains("\"zone-abdali\"");
  }

  @Test
  void shouldContinueServingWhenThePlatformIsDown() {
    mesh.platform().setFault(StoreFault.DOWN);

    HttpResponse refusal =
        mesh.send(
            mesh.member(0).operators(),
            HttpRequest.of("POST", "/changes").body("zones: [{name: khalda}]"));

    assertThat(refusal.status()).isIn(503, 504);
    assertThat(call(0).status()).isEqualTo(200);
    assertThat(operate(1, "GET /configuration").text()).doesNotContain("khalda");
  }

  @Test
  void shouldCutNoCallWhenADaemonStopsAsPlanned() throws Exception {
    TestMesh.Member entryMember = mesh.add("abdali");
    mesh.awaitUpstreams(entryMember, "ledger v1 abdali", 1);
    mesh.awaitUpstreams(entryMember, "ledger v1 marka", 1);
    HttpRequest read = HttpRequest.of("GET", "/read");
    assertThat(mesh.send(entryMember.callers(), read).header("x-upstream")).contains("abdali");
    AtomicBoolean stopped = new AtomicBoolean();
    AtomicInteger failures = new AtomicInteger();
    CompletableFuture<Void> calls =
        CompletableFuture.runAsync(
            () -> {
              while (!stopped.get()) {
                failures.addAndGet(mesh.send(entryMember.callers(), read).status() == 200 ? 0 : 1);
              }
            });

    mesh.member(0).daemon().close();
    stopped.set(true);
    calls.get();

    assertThat(failures.get()).isZero();
    assertThat(mesh.send(entryMember.callers(), read).header("x-upstream")).contains("marka");
  }

  @Test
  void shouldRefuseCallsThatAStopWouldCut() {
    mesh.member(0).daemon().refuseNewCalls();

    HttpResponse refusal = call(0);

    assertThat(refusal.status()).isEqualTo(503);
    assertThat(refusal.header("x-parsleycart-outcome")).contains("not-run");
    assertThat(refusal.header("Retry-After")).isPresent();
    assertThat(call(1).status()).isEqualTo(200);
  }

  /** Guards against a call that is sent on late in a stop, because its body came late, and cut. */
  @Test
  void shouldRefuseCallWhoseBodyEndsWhenAStopWouldCutIt() throws IOException {
    long answeredBefore = abdaliUpstream.answered() + markaUpstream.answered();
    String[] address = mesh.member(0).callers().split(":", 2);
    try (Socket socket = new Socket(address[0], Integer.parseInt(address[1]))) {
      write(socket, "POST /read HTTP/1.1\r\nHost: mesh\r\nContent-Length: 4\r\n\r\nab");
      mesh.await(
          () -> operate(0, "GET /metrics").text().contains("parsleycart_calls_in_progress 1.0"));
      mesh.member(0).daemon().refuseNewCalls();
      write(socket, "cd");

      byte[] status = socket.getInputStream().readNBytes("HTTP/1.1 503".length());

      assertThat(new String(status, StandardCharsets.US_ASCII)).isEqualTo("HTTP/1.1 503");
    }
    assertThat(abdaliUpstream.answered() + markaUpstream.answered()).isEqualTo(answeredBefore);
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  @Test
  void shouldServeCallsAtTheOtherDaemonWhenOneCrashes() {
    mesh.member(0).daemon().kill();
    int failures = 0;
    for (int index = 0; index < 20; index++) {
      failures += call(1).status() == 200 ? 0 : 1;
    }

    assertThat(failures).isZero();
  }

  @Test
  void shouldBecomeReadyFromPeersWhenThePlatformIsDown() throws IOException {
    String configurationBefore = operate(0, "GET /configuration").text();
    mesh.platform().setFault(StoreFault.DOWN);

    TestMesh.Member lateMember = mesh.add("marka", mesh.member(0).settings().identifier());
    mesh.await(
        () -> mesh.send(lateMember.operators(), HttpRequest.of("GET", "/readyz")).status() == 200);

    assertThat(mesh.send(lateMember.operators(), HttpRequest.of("GET", "/configuration")).text())
        .isEqualTo(configurationBefore);
  }

  @Test
  void shouldNotBecomeReadyWhenThereIsNeitherPlatformNorPeer() throws IOException {
    mesh.platform().setFault(StoreFault.DOWN);

    TestMesh.Member memberWithoutPeers = mesh.add("marka");

    HttpResponse response = mesh.send(memberWithoutPeers.callers(), HttpRequest.of("GET", "/read"));
    assertThat(response.status()).isEqualTo(503);
    assertThat(response.header("x-parsleycart-reason")).contains("not-ready");
  }

  @Test
  void shouldRejectAChangeAndKeepTheConfigurationWhenItIsMalformed() {
    String configurationBefore = operate(0, "GET /configuration").text();

    HttpResponse response =
        mesh.send(
            mesh.member(0).operators(),
            HttpRequest.of("POST", "/changes?source=bad.yaml")
                .body("routes: [{name: x, pathPrefix: y}]\nsurprise: 1"));

    assertThat(response.status()).isEqualTo(400);
    assertThat(response.text()).contains("bad.yaml:1 at routes[0].pathPrefix").contains("surprise");
    assertThat(operate(0, "GET /configuration").text()).isEqualTo(configurationBefore);
  }
}
