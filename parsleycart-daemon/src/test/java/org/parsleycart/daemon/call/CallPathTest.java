package org.parsleycart.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleycart.daemon.TestMesh;
import org.parsleycart.link.LinkError;
import org.parsleycart.link.http.HttpRequest;
import org.parsleycart.link.http.HttpResponse;

/** Sends calls through one or two real daemons to an upstream that answers with scripted bytes. */
class CallPathTest {
  private static final String CONFIGURATION =
      """
      zones: [{name: abdali}, {name: marka}]
      contracts:
        - {name: read, kind: interactive-read, deadline: 2s}
        - {name: write, kind: non-idempotent-write, deadline: 2s}
        - {name: short, kind: non-idempotent-write, deadline: 200ms}
      services: [{name: ledger, version: v1}, {name: nowhere, version: v1}]
      routes:
        - {name: read, pathPrefix: /read, service: ledger, contract: read}
        - {name: write, pathPrefix: /write, service: ledger, contract: write}
        - {name: short-0, pathPrefix: /short/0, service: ledger, contract: short}
        - {name: short-1, pathPrefix: /short/1, service: ledger, contract: short}
        - {name: nowhere, pathPrefix: /nowhere, service: nowhere, contract: write}
      """;
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
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

  @BeforeEach
  void respondNormally() {
    upstream.respondWith(ScriptedUpstream.ok("fine"), false);
  }

  /** Returns the address for callers: member 0 is beside the upstream, member 1 needs two hops. */
  private static String entry(int member) {
    return mesh.member(member).callers();
  }

  private static String outcome(HttpResponse response) {
    return response.header("x-parsleycart-outcome").orElse("none");
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void shouldDeliverCompleteResponseWhenUpstreamAnswers(int member) {
    HttpResponse response = mesh.send(entry(member), HttpRequest.of("GET", "/read/1?x=%20y"));

    assertThat(response.status()).isEqualTo(200);
    assertThat(response.text()).isEqualTo("fine");
    assertThat(outcome(response)).isEqualTo("answered");
    assertThat(upstream.lastHead()).startsWith("get /read/1?x=%20y http/1.1");
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void shouldForwardBodiesInBothDirectionsWhenTheyAreLarge(int member) {
    String large = "x".repeat(50_000);
    upstream.respondWith(ScriptedUpstream.ok(large), false);

    HttpResponse response = mesh.send(entry(member), HttpRequest.of("POST", "/write").body(large));

    assertThat(response.text()).isEqualTo(large);
    assertThat(upstream.lastHead()).contains("content-length: 50000");
  }

  @ParameterizedTest
  @CsvSource({
    "0, 'HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort'",
    "1, 'HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort'",
    "0, 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n'",
    "1, 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n'"
  })
  void shouldNotDeliverResponseAsCompleteWhenItIsTruncated(int member, String bytes) {
    upstream.respondWith(bytes, true);

    Either<LinkError, HttpResponse> response =
        mesh.client().send(entry(member), HttpRequest.of("GET", "/write"), TIMEOUT);

    assertThat(response.isLeft() || response.get().status() >= 500).isTrue();
  }

  @ParameterizedTest
  @CsvSource({
    "0, ''",
    "1, ''",
    "0, 'HTTP/1.1 200 OK\r\n\r\nuntil close'",
    "1, 'HTTP/1.1 200 OK\r\n\r\nuntil close'",
    "0, 'nonsense\r\n\r\n'",
    "1, 'HTTP/1.1 200 OK\r\nX-Parsleycart-Request-Identifier: other\r\nContent-Length: 0\r\n\r\n'"
  })
  void shouldReportUnknownAndRunWriteOnceWhenResponseIsUnusable(int member, String bytes) {
    upstream.respondWith(bytes, true);
    int before = upstream.requests();

    HttpResponse response =
        mesh.send(entry(member), HttpRequest.of("POST", "/write").body("charge"));

    assertThat(outcome(response)).isEqualTo("unknown");
    assertThat(response.status()).isIn(502, 504);
    assertThat(upstream.requests()).isEqualTo(before + 1);
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void shouldReportTimeoutWhenUpstreamDoesNotRespond(int member) {
    upstream.respondWith("", false);

    HttpResponse response =
        mesh.send(entry(member), HttpRequest.of("POST", "/short/" + member).body("charge"));

    assertThat(response.status()).isEqualTo(504);
    assertThat(outcome(response)).isEqualTo("unknown");
  }

  @ParameterizedTest
  @CsvSource({"0, 1, 1", "1, 0, 1", "1, 1, 2"})
  void shouldRunIdempotencyKeyOnceWhenItIsRepeatedAtAnyEntry(
      int first, int second, String attempt) {
    String key = "key-" + first + second;
    upstream.respondWith("", true);
    int before = upstream.requests();
    HttpRequest charge =
        HttpRequest.of("POST", "/write").body("charge").header("Idempotency-Key", key);
    assertThat(outcome(mesh.send(entry(first), charge))).isEqualTo("unknown");

    respondNormally();
    HttpResponse repeatedResponse =
        mesh.send(entry(second), charge.header("Idempotency-Attempt", attempt));

    assertThat(outcome(repeatedResponse)).isEqualTo("unknown");
    assertThat(upstream.requests()).isEqualTo(before + 1);
  }

  @Test
  void shouldNotRunIdempotencyKeyWhenItIsMarkedAsRepeatedButUnknown() {
    int before = upstream.requests();

    HttpResponse response =
        mesh.send(
            entry(1),
            HttpRequest.of("POST", "/write")
                .body("charge")
                .header("Idempotency-Key", "lost")
                .header("Idempotency-Attempt", "2"));

    assertThat(outcome(response)).isEqualTo("unknown");
    assertThat(upstream.requests()).isEqualTo(before);
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void shouldReportNotRunWhenNoUpstreamIsReached(int member) {
    int before = upstream.requests();

    HttpResponse response =
        mesh.send(entry(member), HttpRequest.of("POST", "/nowhere").body("charge"));

    assertThat(outcome(response)).isEqualTo("not-run");
    assertThat(upstream.requests()).isEqualTo(before);
  }

  @Test
  void shouldNotForwardMeshHeadersWhenCallerSetsThem() {
    mesh.send(
        entry(0),
        HttpRequest.of("GET", "/read")
            .header("X-Parsleycart-Upstream", "forged")
            .header("X-Parsleycart-Outcome", "not-run")
            .header("X-Parsleycart-Request-Identifier", "forged")
            .header("X-Own", "kept"));

    assertThat(upstream.lastHead()).doesNotContain("forged").doesNotContain("outcome");
    assertThat(upstream.lastHead()).contains("x-own: kept");
  }

  @Test
  void shouldRefuseCallBetweenDaemonsWhenItIsNotSigned() {
    int before = upstream.requests();

    HttpResponse response =
        mesh.send(
            mesh.member(0).daemons(),
            HttpRequest.of("GET", "/read")
                .header("X-Parsleycart-Upstream", "u0")
                .header("X-Parsleycart-Route", "read")
                .header("X-Parsleycart-Request-Identifier", "1")
                .header("X-Parsleycart-Deadline-Milliseconds", "1000"));

    assertThat(outcome(response)).isEqualTo("not-run");
    assertThat(upstream.requests()).isEqualTo(before);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "Content-Length: +5\r\n\r\nhello"
      })
  void shouldRefuseRequestWhenItsLengthIsAmbiguous(String rest) throws IOException {
    int before = upstream.requests();

    String response = sendRaw("POST /write HTTP/1.1\r\nHost: x\r\n" + rest);

    assertThat(response).startsWith("HTTP/1.1 400");
    assertThat(upstream.requests()).isEqualTo(before);
  }

  /** Guards against a request that is hidden in the body of one whose length is ambiguous. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "Transfer-Encoding: chunked, identity\r\n\r\n",
        "Transfer-Encoding: identity, chunked\r\n\r\n",
        "Transfer-Encoding: identity\r\n\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n",
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
      })
  void shouldNotRunRequestBehindOneOfAmbiguousLength(String framing) throws IOException {
    int before = upstream.requests();
    String hidden = "GET /read/hidden HTTP/1.1\r\nHost: x\r\n\r\n";

    String responses =
        sendRawToEnd("POST /write HTTP/1.1\r\nHost: x\r\n" + framing + "0\r\n\r\n" + hidden);

    assertThat(responses).startsWith("HTTP/1.1 400");
    assertThat(upstream.requests()).isEqualTo(before);
  }

  /** Returns all that is received until the daemon closes the connection. */
  private static String sendRawToEnd(String request) throws IOException {
    String[] address = entry(0).split(":", 2);
    try (Socket socket = new Socket(address[0], Integer.parseInt(address[1]))) {
      socket.setSoTimeout((int) TIMEOUT.toMillis());
      SocketUpstream.write(socket, request);
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }

  @Test
  void shouldRefuseBodyWhenItExceedsTheLimit() throws IOException {
    int before = upstream.requests();

    String response = sendRaw("POST /write HTTP/1.1\r\nHost: x\r\nContent-Length: 100001\r\n\r\n");

    assertThat(response).startsWith("HTTP/1.1 413");
    assertThat(upstream.requests()).isEqualTo(before);
  }

  private static String sendRaw(String request) throws IOException {
    String[] address = entry(0).split(":", 2);
    try (Socket socket = new Socket(address[0], Integer.parseInt(address[1]))) {
      socket.setSoTimeout((int) TIMEOUT.toMillis());
      OutputStream output = socket.getOutputStream();
      output.write(request.getBytes(StandardCharsets.ISO_8859_1));
      output.flush();
      byte[] buffer = new byte[1024];
      int count = socket.getInputStream().read(buffer);
      return new String(buffer, 0, Math.max(0, count), StandardCharsets.ISO_8859_1);
    }
  }
}
