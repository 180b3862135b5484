package org.parsleycart.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.parsleycart.daemon.PlatformMesh;
import org.parsleycart.daemon.PlatformMesh.Heartbeat;
import org.parsleycart.link.http.HttpRequest;

/**
 * Guards against an upstream that sends bytes without end which belong to no answer, in or after a
 * body: a daemon that keeps them runs out of memory, and all its calls end with it.
 */
class EndlessBodyTest {
  private static final String CONFIGURATION =
      """
      {"version":"r1","routes":{
        "a":{"host":"127.0.0.1","prefix":"/a/","kind":"safe","timeoutMs":20000,
             "targetLatencyMs":300,"priority":1,"service":"one","maxAttempts":1},
        "b":{"host":"127.0.0.1","prefix":"/b/","kind":"safe","timeoutMs":20000,
             "targetLatencyMs":300,"priority":1,"service":"two","maxAttempts":1}},
       "services":{
        "one":{"healthPath":"/health","maxConnections":50,"coldStartS":0.0,"coldPerS":1000.0},
        "two":{"healthPath":"/health","maxConnections":50,"coldStartS":0.0,"coldPerS":1000.0}},
       "limits":{"maxHeaderBytes":16384}}
      """;

  /** Far more than a daemon and the buffers of two connections may hold. */
  private static final long MAXIMUM_TAKEN_BYTES = 32L << 20;

  private static final int REPETITIONS_PER_WRITE = 4000;

  private static PlatformMesh mesh;
  private static SocketUpstream troubled;
  private static SocketUpstream sound;
  private static int number;

  /** An answer whose last part is repeated until the daemon closes the connection. */
  enum Endless {
    CHUNK_SIZE("Transfer-Encoding: chunked\r\n\r\n", "0"),
    CHUNK_EXTENSION("Transfer-Encoding: chunked\r\n\r\n4;", "extension"),
    CHUNK_WITHOUT_LINE_END("Transfer-Encoding: chunked\r\n\r\n4\r\nfine", "garbage"),
    TRAILERS("Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n", "X-%d: a\r\n"),
    ONE_TRAILER("Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\nX: ", "abcdefgh"),
    AFTER_THE_ANSWER("Content-Length: 4\r\n\r\nfine", "garbage"),
    AFTER_AN_EMPTY_ANSWER("Content-Length: 0\r\n\r\n", "garbage");

    private final String start;
    private final String repeated;

    Endless(String start, String repeated) {
      this.start = start;
      this.repeated = repeated;
    }

    /** Sends until the daemon closes the connection; returns the number of bytes that it took. */
    private long send(Socket socket, String status, String identifier) {
      long taken = 0;
      try {
        SocketUpstream.write(
            socket,
            "HTTP/1.1 "
                + status
                + "\r\nParsleycart-Response-Stamp: s\r\nParsleycart-Attempt-Id: "
                + identifier
                + "\r\n"
                + start);
        for (long sent = 0; taken < 2 * MAXIMUM_TAKEN_BYTES; sent += REPETITIONS_PER_WRITE) {
          StringBuilder part = new StringBuilder();
          for (int index = 0; index < REPETITIONS_PER_WRITE; index++) {
            part.append(repeated.replace("%d", Long.toString(sent + index)));
          }
          SocketUpstream.write(socket, part.toString());
          taken += part.length();
        }
      } catch (IOException e) {
        // The daemon has closed the connection.
      }
      return taken;
    }
  }

  @BeforeAll
  static void start() throws IOException {
    mesh = PlatformMesh.start(CONFIGURATION, "one", "two");
    troubled = new SocketUpstream((request, socket) -> false);
    sound = new SocketUpstream(EndlessBodyTest::answer);
  }

  @AfterAll
  static void stop() throws IOException {
    mesh.close();
    troubled.close();
    sound.close();
  }

  /** Announces both upstreams; the last answer of each was whole, so that none is set aside. */
  @BeforeEach
  void announceSoundUpstreams() {
    number++;
    troubled.setScript(EndlessBodyTest::answer);
    mesh.beat(mesh.member(0), Heartbeat.ready("i-one", "one", troubled.address(), number));
    mesh.beat(mesh.member(1), Heartbeat.ready("i-two", "two", sound.address(), number));
    mesh.await(() -> soundCall(0, "/a/x") == 200 && soundCall(0, "/b/x") == 200);
    mesh.await(() -> soundCall(1, "/a/x") == 200);
  }

  private static boolean answer(WireMessage request, Socket socket) throws IOException {
    SocketUpstream.write(
        socket,
        "HTTP/1.1 200 OK\r\nParsleycart-Response-Stamp: s\r\nParsleycart-Attempt-Id: "
            + request.header("Parsleycart-Attempt-Id").orElse("")
            + "\r\nContent-Length: 4\r\n\r\nfine");
    return true;
  }

  private static int soundCall(int daemon, String path) {
    return mesh.send(
            mesh.member(daemon).callers(),
            HttpRequest.of("GET", path).header("Parsleycart-Attempt-Id", "q"))
        .status();
  }

  /** Sends a call and reads until the daemon closes the connection. */
  private static void callAndRead(int daemon) throws IOException {
    String address = mesh.member(daemon).callers();
    int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      String head =
          String.join(
              "\r\n",
              "GET /a/x HTTP/1.1",
              "Host: 127.0.0.1",
              "Parsleycart-Attempt-Id: q",
              "Connection: close",
              "",
              "");
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      InputStream input = socket.getInputStream();
      byte[] buffer = new byte[8192];
      while (input.read(buffer) >= 0) {
        // Only the end of the connection matters.
      }
    }
  }

  private static void assertTakenBytesAreBounded(Endless endless, String status, int daemon)
      throws IOException {
    CompletableFuture<Long> taken = new CompletableFuture<>();
    troubled.setScript(
        (request, socket) -> {
          taken.complete(
              endless.send(socket, status, request.header("Parsleycart-Attempt-Id").orElse("")));
          return false;
        });

    callAndRead(daemon);

    assertThat(taken.join()).isLessThan(MAXIMUM_TAKEN_BYTES);
    assertThat(soundCall(0, "/b/x")).isEqualTo(200);
  }

  @ParameterizedTest
  @EnumSource(Endless.class)
  void shouldTakeABoundedNumberOfBytesFromUpstreamBesideIt(Endless endless) throws IOException {
    assertTakenBytesAreBounded(endless, "200 OK", 0);
  }

  @ParameterizedTest
  @EnumSource(Endless.class)
  void shouldTakeABoundedNumberOfBytesThroughAnotherDaemon(Endless endless) throws IOException {
    assertTakenBytesAreBounded(endless, "200 OK", 1);
  }

  @ParameterizedTest
  @EnumSource(Endless.class)
  void shouldTakeABoundedNumberOfBytesOfARefusal(Endless endless) throws IOException {
    assertTakenBytesAreBounded(endless, "503 Full\r\nParsleycart-Not-Run: full", 0);
  }
}
