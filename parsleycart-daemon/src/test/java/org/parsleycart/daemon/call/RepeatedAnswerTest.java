package org.parsleycart.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleycart.daemon.PlatformMesh;
import org.parsleycart.daemon.PlatformMesh.Heartbeat;
import org.parsleycart.daemon.TestMesh;
import org.parsleycart.link.http.HttpRequest;
import org.parsleycart.link.http.HttpResponse;

/**
 * Guards against an upstream that writes an earlier refusal once more on a kept connection, and a
 * caller that gets it as the answer to a call that has run.
 */
class RepeatedAnswerTest {
  private static final String PLATFORM_CONFIGURATION =
      """
      {"version":"r1","routes":{
        "a":{"host":"127.0.0.1","prefix":"/a/","kind":"unsafe","timeoutMs":2000,
             "targetLatencyMs":300,"priority":1,"service":"one","maxAttempts":3}},
       "services":{
        "one":{"healthPath":"/health","maxConnections":50,"coldStartS":0.0,"coldPerS":1000.0},
        "two":{"healthPath":"/health","maxConnections":50,"coldStartS":0.0,"coldPerS":1000.0}},
       "limits":{"maxHeaderBytes":16384}}
      """;
  private static final String OWN_CONFIGURATION =
      """
      zones: [{name: abdali}]
      contracts: [{name: write, kind: non-idempotent-write, deadline: 2s}]
      services: [{name: ledger, version: v1}]
      routes: [{name: write, pathPrefix: /write, service: ledger, contract: write}]
      """;
  private static final String OWN_REFUSAL =
      "HTTP/1.1 503 Busy\r\nX-Parsleycart-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
  private static final int CALLS = 6;

  private static String refusal(String identifier) {
    return "HTTP/1.1 503 Busy\r\nParsleycart-Attempt-Id: "
        + identifier
        + "\r\nParsleycart-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
  }

  private static String success(String identifier) {
    return "HTTP/1.1 200 OK\r\nParsleycart-Attempt-Id: "
        + identifier
        + "\r\nParsleycart-Response-Stamp: s\r\nContent-Length: 4\r\n\r\nfine";
  }

  private static HttpResponse book(PlatformMesh mesh, int entry, String identifier) {
    return mesh.send(
        mesh.member(entry).callers(),
        HttpRequest.of("POST", "/a/x").header("Parsleycart-Attempt-Id", identifier).body("b"));
  }

  /** The copy lies on the idle connection when the next call comes. */
  @ParameterizedTest
  @CsvSource({"0, 0", "0, 1", "30, 0", "30, 1"})
  void shouldNotSendNextCallOnAConnectionWithUnreadBytes(int delayMilliseconds, int entry)
      throws IOException, InterruptedException {
    CountDownLatch copied = new CountDownLatch(CALLS);
    SocketUpstream.Script script =
        (request, socket) -> {
          String identifier = request.header("Parsleycart-Attempt-Id").orElse("");
          if (delayMilliseconds == 0) {
            SocketUpstream.write(socket, success(identifier) + refusal(identifier));
          } else {
            SocketUpstream.write(socket, success(identifier));
            LockSupport.parkNanos(delayMilliseconds * 1_000_000L);
            SocketUpstream.write(socket, refusal(identifier));
          }
          copied.countDown();
          return true;
        };
    try (PlatformMesh mesh = PlatformMesh.start(PLATFORM_CONFIGURATION, "one", "two");
        SocketUpstream upstream = new SocketUpstream(script)) {
      mesh.beat(mesh.member(0), Heartbeat.ready("i-one", "one", upstream.address(), 1));
      mesh.await(() -> mesh.hasUpstream(mesh.member(entry), "one"));

      for (int call = 1; call <= CALLS; call++) {
        HttpResponse response = book(mesh, entry, "q" + call);
        int answered = call;
        mesh.await(() -> copied.getCount() <= CALLS - answered);

        assertThat(response.status()).as("call %d", call).isEqualTo(200);
      }
      assertThat(upstream.requests()).isEqualTo(CALLS);
    }
  }

  /**
   * A copy has the identifier of its call. It can be taken for another answer only if a call asks
   * one upstream twice.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void shouldNotAskAnUpstreamTwiceInOneCall(int entry) throws IOException {
    AtomicInteger refused = new AtomicInteger();
    SocketUpstream.Script refusing =
        (request, socket) -> {
          String identifier = request.header("Parsleycart-Attempt-Id").orElse("");
          // Counted first, because the caller may get its answer before the script continues.
          refused.incrementAndGet();
          SocketUpstream.write(socket, refusal(identifier) + refusal(identifier));
          return true;
        };
    try (PlatformMesh mesh = PlatformMesh.start(PLATFORM_CONFIGURATION, "one", "two");
        SocketUpstream upstream = new SocketUpstream(refusing)) {
      mesh.beat(mesh.member(0), Heartbeat.ready("i-one", "one", upstream.address(), 1));
      mesh.await(() -> mesh.hasUpstream(mesh.member(entry), "one"));

      HttpResponse response = book(mesh, entry, "q1");

      assertThat(response.status()).isEqualTo(503);
      assertThat(refused).hasValue(1);
    }
  }

  /** In the product's own dialect an upstream need not echo the identifier of a call. */
  @Test
  void shouldNotReuseAConnectionWhoseAnswerDidNotEchoTheCall() throws IOException {
    AtomicInteger runs = new AtomicInteger();
    SocketUpstream.Script script =
        (request, socket) -> {
          runs.incrementAndGet();
          SocketUpstream.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine");
          // The copy arrives while the next call on this connection waits for its answer.
          Thread copy =
              new Thread(
                  () -> {
                    LockSupport.parkNanos(40_000_000L);
                    try {
                      SocketUpstream.write(socket, OWN_REFUSAL);
                    } catch (IOException e) {
                      // The daemon has closed the connection.
                    }
                  });
          copy.setDaemon(true);
          copy.start();
          return true;
        };
    try (TestMesh mesh = TestMesh.start("abdali");
        SocketUpstream upstream = new SocketUpstream(delayed(script))) {
      mesh.apply(OWN_CONFIGURATION);
      mesh.announce(mesh.member(0), "u0", "ledger", "v1", upstream.address());
      mesh.awaitUpstreams(mesh.member(0), "ledger v1 abdali", 1);
      mesh.await(() -> isReady(mesh));

      for (int call = 1; call <= CALLS; call++) {
        HttpResponse response =
            mesh.send(mesh.member(0).callers(), HttpRequest.of("POST", "/write").body("booking"));

        assertThat(response.status()).as("call %d", call).isEqualTo(200);
      }
      assertThat(runs).hasValue(CALLS);
      assertThat(upstream.connections()).isEqualTo(CALLS);
    }
  }

  private static boolean isReady(TestMesh mesh) {
    return mesh.send(mesh.member(0).operators(), HttpRequest.of("GET", "/readyz")).status() == 200;
  }

  /** Lets each call last longer than a copy of the answer before it takes. */
  private static SocketUpstream.Script delayed(SocketUpstream.Script script) {
    return (request, socket) -> {
      LockSupport.parkNanos(80_000_000L);
      return script.answer(request, socket);
    };
  }
}
