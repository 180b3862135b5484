package org.parsleycart.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.parsleycart.daemon.PlatformMesh;
import org.parsleycart.daemon.PlatformMesh.Heartbeat;

/** Guards against an answer that broke off and reached its caller as a complete success. */
class BrokenOffAnswerTest {
  private static final String CONFIGURATION =
      """
      {"version":"r1","routes":{
        "a":{"host":"mesh.example","prefix":"/a/","kind":"safe","timeoutMs":900,
             "targetLatencyMs":300,"priority":1,"service":"one","maxAttempts":1}},
       "services":{
        "one":{"healthPath":"/health","maxConnections":50,"coldStartS":0.0,"coldPerS":1000.0},
        "two":{"healthPath":"/health","maxConnections":50,"coldStartS":0.0,"coldPerS":1000.0}},
       "limits":{"maxHeaderBytes":16384}}
      """;
  private static final int SOCKET_TIMEOUT_MILLISECONDS = 10_000;
  private static final int DEADLINE_MILLISECONDS = 300;
  private static final String BODY = "b".repeat(1000);
  private static final ConnectionEnd KEPT = socket -> true;

  private static PlatformMesh mesh;
  private static SocketUpstream upstream;
  private static int number;

  /** How the upstream frames its answer, and where the answer breaks off. */
  enum Framing {
    LENGTH("Content-Length: 1000\r\n\r\n", "b".repeat(500), BODY),
    WITHIN_CHUNK("Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + "b".repeat(500), chunks()),
    BEHIND_CHUNK(
        "Transfer-Encoding: chunked\r\n\r\n", "1f4\r\n" + "b".repeat(500) + "\r\n", chunks()),
    WITHIN_LAST_CHUNK(
        "Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + BODY + "\r\n0\r\n", chunks()),
    /** A length that contradicts the chunks is void. */
    LENGTH_AND_CHUNKS(
        "Content-Length: 500\r\nTransfer-Encoding: chunked\r\n\r\n",
        "1f4\r\n" + "b".repeat(500) + "\r\n",
        chunks()),
    NONE("\r\n", "b".repeat(500), BODY);

    private final String headers;
    private final String part;
    private final String whole;

    Framing(String headers, String part, String whole) {
      this.headers = headers;
      this.part = part;
      this.whole = whole;
    }

    /**
     * Returns how a whole answer ends; only one without a length needs the end of its connection.
     */
    private ConnectionEnd endOfWhole() {
      return this == NONE ? Ending.CLOSE : KEPT;
    }

    private static String chunks() {
      return "3e8\r\n" + BODY + "\r\n0\r\n\r\n";
    }
  }

  /** What becomes of the connection after an answer. */
  @FunctionalInterface
  interface ConnectionEnd {
    /** Ends the connection or not; returns whether it is kept. */
    boolean apply(Socket socket) throws IOException;
  }

  /** How an answer breaks off. */
  enum Ending implements ConnectionEnd {
    CLOSE {
      @Override
      public boolean apply(Socket socket) {
        return false;
      }
    },
    RESET {
      @Override
      public boolean apply(Socket socket) throws IOException {
        // The part that was sent arrives before the reset discards it.
        LockSupport.parkNanos(20_000_000);
        SocketUpstream.reset(socket);
        return false;
      }
    },
    /** The upstream stalls until the deadline of the call has passed. */
    DEADLINE {
      @Override
      public boolean apply(Socket socket) {
        return true;
      }
    };

    private boolean breaksOff(Framing framing) {
      return framing != Framing.NONE || this != CLOSE;
    }
  }

  /** A caller, by the version of the protocol and what it says of its connection. */
  enum Caller {
    KEEPS_CONNECTION("HTTP/1.1", ""),
    CLOSES_CONNECTION("HTTP/1.1", "Connection: close\r\n"),
    PREDATES_CHUNKS("HTTP/1.0", "");

    private final String protocol;
    private final String header;

    Caller(String protocol, String header) {
      this.protocol = protocol;
      this.header = header;
    }

    /** Sends a call and reads its answer as far as it arrives. */
    WireMessage call(PlatformMesh.Member entry) throws IOException {
      String[] address = entry.callers().split(":", 2);
      try (Socket socket = new Socket(address[0], Integer.parseInt(address[1]))) {
        socket.setSoTimeout(SOCKET_TIMEOUT_MILLISECONDS);
        SocketUpstream.write(
            socket,
            "GET /a/x "
                + protocol
                + "\r\nHost: mesh.example\r\nParsleycart-Attempt-Id: q"
                + number
                + "\r\nParsleycart-Deadline-Ms: "
                + DEADLINE_MILLISECONDS
                + "\r\n"
                + header
                + "\r\n");
        return WireMessage.readResponse(socket.getInputStream());
      }
    }
  }

  @BeforeAll
  static void start() throws IOException {
    mesh = PlatformMesh.start(CONFIGURATION, "one", "two");
    upstream = new SocketUpstream((request, socket) -> false);
  }

  @AfterAll
  static void stop() throws IOException {
    mesh.close();
    upstream.close();
  }

  /**
   * Announces an upstream whose last answer was whole, so that it is not set aside. It keeps its
   * connections: a call that is sent while its connection closes reaches no upstream.
   */
  @BeforeEach
  void announceSoundUpstream() {
    number++;
    mesh.beat(mesh.member(0), Heartbeat.ready("i-one", "one", upstream.address(), number));
    upstream.setScript(
        (request, socket) ->
            answer(request, socket, Framing.LENGTH.headers + Framing.LENGTH.whole, KEPT));
    for (int member = 0; member < 2; member++) {
      PlatformMesh.Member entry = mesh.member(member);
      mesh.await(() -> isAnswered(entry));
    }
  }

  private static boolean isAnswered(PlatformMesh.Member entry) {
    try {
      return Caller.KEEPS_CONNECTION.call(entry).status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  private static boolean answer(
      WireMessage request, Socket socket, String rest, ConnectionEnd ending) throws IOException {
    SocketUpstream.write(
        socket,
        "HTTP/1.1 200 OK\r\nParsleycart-Response-Stamp: s\r\nParsleycart-Attempt-Id: "
            + request.header("Parsleycart-Attempt-Id").orElse("")
            + "\r\n"
            + rest);
    return ending.apply(socket);
  }

  static Stream<Arguments> brokenOffAnswers() {
    return Stream.of(Framing.values())
        .flatMap(
            framing ->
                Stream.of(Ending.values())
                    .filter(ending -> ending.breaksOff(framing))
                    .flatMap(
                        ending ->
                            Stream.of(Caller.values())
                                .flatMap(
                                    caller ->
                                        Stream.of(0, 1)
                                            .map(
                                                member ->
                                                    Arguments.of(
                                                        framing, ending, caller, member)))));
  }

  @ParameterizedTest
  @MethodSource("brokenOffAnswers")
  void shouldNotLookCompleteWhenAnswerBrokeOff(
      Framing framing, Ending ending, Caller caller, int member) {
    upstream.setScript(
        (request, socket) -> answer(request, socket, framing.headers + framing.part, ending));

    int before = upstream.requests();

    Optional<WireMessage> response = callUnlessCutOff(caller, mesh.member(member));

    assertThat(upstream.requests()).isEqualTo(before + 1);
    boolean isCompleteSuccess =
        response.filter(whole -> whole.isComplete() && whole.status() == 200).isPresent();
    assertThat(isCompleteSuccess).as(response.map(WireMessage::headers).toString()).isFalse();
  }

  /** Guards against an answer that broke off within its head and became a success. */
  @ParameterizedTest
  @MethodSource("brokenOffHeads")
  void shouldNotLookCompleteWhenHeadBrokeOff(
      String head, Ending ending, Caller caller, int member) {
    upstream.setScript(
        (request, socket) -> {
          String identifier = request.header("Parsleycart-Attempt-Id").orElse("");
          SocketUpstream.write(socket, head.replace("ID", identifier));
          return ending.apply(socket);
        });
    int before = upstream.requests();

    Optional<WireMessage> response = callUnlessCutOff(caller, mesh.member(member));

    assertThat(upstream.requests()).isEqualTo(before + 1);
    assertThat(response.filter(any -> any.status() == 200)).isEmpty();
  }

  static Stream<Arguments> brokenOffHeads() {
    String whole = "HTTP/1.1 200 OK\r\nParsleycart-Attempt-Id: ID\r\nContent-Length: 0\r\n";
    return Stream.of(
            "",
            "HTTP/1.1 20",
            "HTTP/1.1 200 OK\r\n",
            "HTTP/1.1 200 OK\r\nParsleycart-Attempt-Id: ID",
            "HTTP/1.1 200 OK\r\nParsleycart-Attempt-Id: ID\r\nContent-Le",
            whole,
            whole + "\r")
        .flatMap(
            head ->
                Stream.of(Ending.values())
                    .flatMap(
                        ending ->
                            Stream.of(Caller.values())
                                .flatMap(
                                    caller ->
                                        Stream.of(0, 1)
                                            .map(
                                                member ->
                                                    Arguments.of(head, ending, caller, member)))));
  }

  /** Returns the response, empty if the connection ended before its head did. */
  private static Optional<WireMessage> callUnlessCutOff(Caller caller, PlatformMesh.Member entry) {
    try {
      return Optional.of(caller.call(entry));
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  /** Guards against a sound upstream that gets no calls, because broken ones hold connections. */
  @ParameterizedTest
  @EnumSource(Ending.class)
  void shouldReleaseConnectionsWhenAnswersWithoutALengthBrokeOff(Ending ending) throws IOException {
    for (int answer = 0; answer <= PlatformMesh.CONNECTIONS_PER_TARGET; answer++) {
      upstream.setScript(
          (request, socket) ->
              answer(request, socket, Framing.NONE.headers + Framing.NONE.part, ending));
      Optional<WireMessage> brokenOff = callUnlessCutOff(Caller.KEEPS_CONNECTION, mesh.member(0));
      assertThat(brokenOff.map(WireMessage::status)).isNotEqualTo(Optional.of(503));
      announceSoundUpstream();
    }
  }

  @ParameterizedTest
  @EnumSource(Caller.class)
  void shouldDeliverWholeAnswerInEachFraming(Caller caller) throws IOException {
    for (Framing framing : Framing.values()) {
      upstream.setScript(
          (request, socket) ->
              answer(request, socket, framing.headers + framing.whole, framing.endOfWhole()));

      WireMessage response = caller.call(mesh.member(0));

      assertThat(response.status()).as(framing.name()).isEqualTo(200);
      assertThat(response.isComplete()).as(framing.name()).isTrue();
      assertThat(response.body()).as(framing.name()).isEqualTo(BODY);
    }
  }
}
