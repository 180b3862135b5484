package org.parsleycart.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.parsleycart.daemon.PlatformMesh;
import org.parsleycart.daemon.PlatformMesh.Heartbeat;
import org.parsleycart.link.http.HttpRequest;

/** Guards against an answer without end that takes the memory or the thread of a daemon. */
class EndlessAnswerTest {
  private static final String CONFIGURATION =
      """
      {"version":"r1","routes":{
        "a":{"host":"127.0.0.1","prefix":"/a/","kind":"unsafe","timeoutMs":20000,
             "targetLatencyMs":300,"priority":1,"service":"one","maxAttempts":1},
        "b":{"host":"127.0.0.1","prefix":"/b/","kind":"safe","timeoutMs":20000,
             "targetLatencyMs":300,"priority":1,"service":"two","maxAttempts":1}},
       "services":{
        "one":{"healthPath":"/health","maxConnections":50,"coldStartS":0.0,"coldPerS":1000.0},
        "two":{"healthPath":"/health","maxConnections":50,"coldStartS":0.0,"coldPerS":1000.0}},
       "limits":{"maxHeaderBytes":16384}}
      """;
  private static final int REPETITIONS_PER_WRITE = 4000;

  private static PlatformMesh mesh;
  private static SocketUpstream troubled;
  private static SocketUpstream sound;
  private static int number;

  /** An answer whose last part is repeated until the daemon closes the connection. */
  enum Endless {
    FIELDS("HTTP/1.1 200 OK\r\n", "X-%d: a\r\n"),
    ONE_FIELD("HTTP/1.1 200 OK\r\nX: ", "abcdefgh"),
    STATUS_LINE("HTTP/1.1 200 ", "OK"),
    INFORMATIONAL("", "HTTP/1.1 100 Continue\r\n\r\n"),
    PROCESSING("", "HTTP/1.1 102 Processing\r\nX-%d: a\r\n\r\n"),
    EMPTY_LINES("", "\r\n");

    private final String start;
    private final String repeated;

    Endless(String start, String repeated) {
      this.start = start;
      this.repeated = repeated;
    }

    private void send(Socket socket) throws IOException {
      SocketUpstream.write(socket, start);
      for (long sent = 0; ; sent += REPETITIONS_PER_WRITE) {
        StringBuilder part = new StringBuilder();
        for (int index = 0; index < REPETITIONS_PER_WRITE; index++) {
          part.append(repeated.replace("%d", Long.toString(sent + index)));
        }
        SocketUpstream.write(socket, part.toString());
      }
    }
  }

  @BeforeAll
  static void start() throws IOException {
    mesh = PlatformMesh.start(CONFIGURATION, "one", "two");
    troubled = new SocketUpstream((request, socket) -> false);
    sound = new SocketUpstream((request, socket) -> answer(request, socket, ""));
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
    troubled.setScript((request, socket) -> answer(request, socket, ""));
    mesh.beat(mesh.member(0), Heartbeat.ready("i-one", "one", troubled.address(), number));
    mesh.beat(mesh.member(1), Heartbeat.ready("i-two", "two", sound.address(), number));
    mesh.await(() -> call("/a/x") == 200 && call("/b/x") == 200);
  }

  private static boolean answer(WireMessage request, Socket socket, String fields)
      throws IOException {
    SocketUpstream.write(
        socket,
        "HTTP/1.1 200 OK\r\nParsleycart-Response-Stamp: s\r\nParsleycart-Attempt-Id: "
            + request.header("Parsleycart-Attempt-Id").orElse("")
            + "\r\n"
            + fields
            + "Content-Length: 4\r\n\r\nfine");
    return true;
  }

  private static int call(String path) {
    return mesh.send(
            mesh.member(0).callers(),
            HttpRequest.of("GET", path).header("Parsleycart-Attempt-Id", "q"))
        .status();
  }

  @ParameterizedTest
  @EnumSource(Endless.class)
  void shouldFailCallBeforeItsDeadlineWhenHeadHasNoEnd(Endless endless) {
    troubled.setScript(
        (request, socket) -> {
          endless.send(socket);
          return false;
        });

    assertThat(call("/a/x")).isEqualTo(502);
    assertThat(call("/b/x")).isEqualTo(200);
  }

  @ParameterizedTest
  @EnumSource(FieldCount.class)
  void shouldFailCallClearlyWhenHeadHasTooManyFields(FieldCount fields) {
    troubled.setScript((request, socket) -> answer(request, socket, fields.text()));

    assertThat(call("/a/x")).isEqualTo(fields.expectedStatus);
  }

  /** Numbers of additional fields around the bound. */
  enum FieldCount {
    USUAL(100, 200),
    BEYOND_BOUND(160, 502),
    BEYOND_PARSER(1000, 502);

    private final int count;
    private final int expectedStatus;

    FieldCount(int count, int expectedStatus) {
      this.count = count;
      this.expectedStatus = expectedStatus;
    }

    private String text() {
      StringBuilder text = new StringBuilder();
      for (int index = 0; index < count; index++) {
        text.append("X-").append(index).append(": a\r\n");
      }
      return text.toString();
    }
  }
}
