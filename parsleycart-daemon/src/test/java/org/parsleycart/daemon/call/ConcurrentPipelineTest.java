package org.parsleycart.daemon.call;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleycart.daemon.TestMesh;

/**
 * Callers that send reads ahead while the first one is not answered yet.
 *
 * <p>Guards against running such reads one after the other, so that each waits unseen for the
 * answers to all before it.
 */
class ConcurrentPipelineTest {
  private static final String CONFIGURATION =
      """
      zones: [{name: abdali}, {name: marka}]
      contracts: [{name: read, kind: interactive-read, deadline: 9s}]
      services: [{name: ledger, version: v1}]
      routes: [{name: read, pathPrefix: /read, service: ledger, contract: read}]
      """;
  private static final int TIMEOUT_MILLISECONDS = 10_000;
  private static final Pattern STATUS = Pattern.compile("HTTP/1\\.1 (\\d{3})");
  private static final String FIRST = "/read/first";

  /** More than the pipelined requests that a daemon handles at once. */
  private static final int CALLERS_THAT_LEAVE = 40;

  private static final int REQUESTS_AHEAD = 30;

  /** Longer than what is held back of a response. */
  private static final String LONG_BODY = "0123456789".repeat(20_000);

  private final CountDownLatch secondArrived = new CountDownLatch(1);
  private TestMesh mesh;
  private SocketUpstream upstream;

  /** Answers the first request only when the second has arrived. */
  private boolean answer(WireMessage request, Socket socket) throws IOException {
    if (request.startLine().contains(FIRST)) {
      SocketUpstream.write(socket, ScriptedUpstream.ok(isSecondArrived() ? "together" : "alone"));
      return true;
    }
    if (request.startLine().contains("/read/silent")) {
      return true;
    }
    secondArrived.countDown();
    if (request.startLine().contains("/read/broken")) {
      SocketUpstream.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nbroken off");
      return false;
    }
    boolean isLong = request.startLine().contains("/read/long");
    SocketUpstream.write(socket, ScriptedUpstream.ok(isLong ? LONG_BODY : "short"));
    return true;
  }

  private boolean isSecondArrived() {
    try {
      return secondArrived.await(TIMEOUT_MILLISECONDS / 2, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  @BeforeEach
  void start() throws IOException {
    mesh = TestMesh.start("abdali", "marka");
    mesh.apply(CONFIGURATION);
    upstream = new SocketUpstream(this::answer);
    mesh.announce(mesh.member(0), "u0", "ledger", "v1", upstream.address());
    for (int member = 0; member < 2; member++) {
      mesh.awaitUpstreams(mesh.member(member), "ledger v1 abdali", 1);
    }
  }

  @AfterEach
  void stop() throws IOException {
    mesh.close();
    upstream.close();
  }

  private static String get(String path, String... headers) {
    return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + String.join("", headers) + "\r\n";
  }

  private Socket connect(int member) throws IOException {
    String[] address = mesh.member(member).callers().split(":", 2);
    Socket socket = new Socket(address[0], Integer.parseInt(address[1]));
    socket.setSoTimeout(TIMEOUT_MILLISECONDS);
    return socket;
  }

  private void awaitRequests(int count) {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLISECONDS);
    while (upstream.requests() < count && System.nanoTime() < deadline) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
    }
    assertThat(upstream.requests()).as("requests that arrived").isGreaterThanOrEqualTo(count);
  }

  /** Sends requests in one piece and returns all that comes back until the connection ends. */
  private String exchange(int member, String requests) throws IOException {
    try (Socket socket = connect(member)) {
      SocketUpstream.write(socket, requests);
      return new String(socket.getInputStream().readAllBytes(), ISO_8859_1);
    }
  }

  private static String statuses(String responses) {
    return String.join(
        " ", STATUS.matcher(responses).results().map(result -> result.group(1)).toList());
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void shouldRunReadBeforeEarlierOneIsAnswered(int member) throws IOException {
    String responses =
        exchange(
            member, get(FIRST) + get("/read/second") + get("/read/x", "Connection: close\r\n"));

    assertThat(statuses(responses)).isEqualTo("200 200 200");
    assertThat(responses).containsSubsequence("together", "short", "short");
  }

  /** The second request arrives when the first is under way. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void shouldRunReadThatArrivesLater(int member) throws IOException {
    try (Socket socket = connect(member)) {
      SocketUpstream.write(socket, get(FIRST));
      awaitRequests(1);
      SocketUpstream.write(socket, get("/read/second") + get("/read/x", "Connection: close\r\n"));

      String responses = new String(socket.getInputStream().readAllBytes(), ISO_8859_1);
      assertThat(responses).containsSubsequence("together", "short", "short");
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void shouldHoldBackLongResponseUntilItsTurn(int member) throws IOException {
    String responses =
        exchange(member, get(FIRST) + get("/read/long") + get("/read/x", "Connection: close\r\n"));

    assertThat(responses).containsSubsequence("together", LONG_BODY, "short");
  }

  /** Closing the connection instead would leave the later requests without an answer. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void shouldAnswerLaterRequestsWhenResponseBreaksOffBeforeItsTurn(int member) throws IOException {
    String responses =
        exchange(
            member, get(FIRST) + get("/read/broken") + get("/read/x", "Connection: close\r\n"));

    assertThat(statuses(responses)).startsWith("200 502").endsWith("200");
    assertThat(responses).containsSubsequence("together", "short").doesNotContain("broken off");
  }

  /**
   * More requests than may be in progress together, so that some wait for the answers to others.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void shouldAnswerMoreRequestsThanMayBeInProgress(int member) throws IOException {
    String responses =
        exchange(
            member,
            get(FIRST)
                + get("/read/second").repeat(REQUESTS_AHEAD)
                + get("/read/x", "Connection: close\r\n"));

    assertThat(STATUS.matcher(responses).results()).hasSize(REQUESTS_AHEAD + 2);
    assertThat(responses).startsWith("HTTP/1.1 200 OK").contains("together");
  }

  /** Guards against requests of callers that have left and keep the places of others. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void shouldReleasePlacesOfRequestsWhoseCallersHaveLeft(int member) throws IOException {
    for (int caller = 1; caller <= CALLERS_THAT_LEAVE; caller++) {
      try (Socket socket = connect(member)) {
        SocketUpstream.write(socket, get("/read/silent/1") + get("/read/silent/2"));
        awaitRequests(2 * caller);
      }
    }

    String responses =
        exchange(
            member, get(FIRST) + get("/read/second") + get("/read/x", "Connection: close\r\n"));

    assertThat(responses).contains("together");
  }

  /** After the responses, the connection serves requests as before. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void shouldServeConnectionAfterPipelinedRequests(int member) throws IOException {
    try (Socket socket = connect(member)) {
      SocketUpstream.write(socket, get(FIRST) + get("/read/second") + get("/read/third"));
      InputStream input = socket.getInputStream();
      for (int response = 0; response < 3; response++) {
        assertThat(WireMessage.readResponse(input).startLine()).contains("200");
      }
      SocketUpstream.write(socket, get("/read/later", "Connection: close\r\n"));

      assertThat(new String(input.readAllBytes(), ISO_8859_1)).contains("200 OK", "short");
    }
  }
}
