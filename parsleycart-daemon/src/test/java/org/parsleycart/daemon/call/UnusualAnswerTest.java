package org.parsleycart.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.parsleycart.daemon.call.RelayMesh.Entry;
import org.parsleycart.daemon.call.RelayMesh.MeshDialect;
import org.parsleycart.daemon.call.WireCaller.Call;

/**
 * Guards against a check of heads that takes proper answers for malformed ones: those that RFC 9110
 * and RFC 9112 allow, though few servers send them.
 */
class UnusualAnswerTest {
  private static final String CHUNKED = "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n";
  private static final String BODY = "0123456789abcdef";
  private static Map<MeshDialect, RelayMesh> meshes;

  /** Answers with the status 200 and the body; {@code %s} is replaced by the echo. */
  enum Unusual {
    PLAIN("HTTP/1.1 200 OK\r\n%sContent-Length: 16\r\n\r\n" + BODY),
    EMPTY_REASON("HTTP/1.1 200 \r\n%sContent-Length: 16\r\n\r\n" + BODY),
    LONG_REASON(
        "HTTP/1.1 200 All \t is \u00e9 well: \"yes\"\r\n%sContent-Length: 16\r\n\r\n" + BODY),
    EARLIER_VERSION("HTTP/1.0 200 OK\r\n%sContent-Length: 16\r\n\r\n" + BODY),
    LENGTH_WITHOUT_BLANK("HTTP/1.1 200 OK\r\n%sContent-Length:16\r\n\r\n" + BODY),
    LENGTH_BETWEEN_BLANKS("HTTP/1.1 200 OK\r\n%sContent-Length: \t 16\r\n\r\n" + BODY),
    LENGTH_BEFORE_BLANKS("HTTP/1.1 200 OK\r\n%sContent-Length: 16 \t \r\n\r\n" + BODY),
    LENGTH_WITH_ZEROS("HTTP/1.1 200 OK\r\n%sContent-Length: 0000000000000000000016\r\n\r\n" + BODY),
    LENGTH_IN_OTHER_CASE("HTTP/1.1 200 OK\r\n%scONTENT-lENGTH: 16\r\n\r\n" + BODY),
    LENGTH_FIRST("HTTP/1.1 200 OK\r\nContent-Length: 16\r\n%s\r\n" + BODY),
    EQUAL_LENGTHS("HTTP/1.1 200 OK\r\nContent-Length: 16\r\n%scontent-length: 16\r\n\r\n" + BODY),
    LINE_FEEDS("HTTP/1.1 200 OK\n%sContent-Length: 16\n\n" + BODY),
    SOME_LINE_FEEDS("HTTP/1.1 200 OK\r\n%sX-Field: a\nContent-Length: 16\r\n\r\n" + BODY),
    TOKEN_NAMES(
        "HTTP/1.1 200 OK\r\n!#$%%&'*+-.^_`|~09azAZ: a\r\n0: b\r\n%sContent-Length: 16\r\n\r\n"
            + BODY),
    SIMILAR_NAMES(
        "HTTP/1.1 200 OK\r\nContent-Lengths: 9\r\nX-Content-Length: x\r\nContent-Lengt: +\r\n"
            + "Transfer-Encodin: gzip\r\nTransfer-Encodings: gzip\r\n"
            + "%sContent-Length: 16\r\n\r\n"
            + BODY),
    EMPTY_VALUES(
        "HTTP/1.1 200 OK\r\nX-A:\r\nX-B: \r\nX-C:\t \r\n%sContent-Length: 16\r\n\r\n" + BODY),
    VALUES_OF_ALL_BYTES(
        "HTTP/1.1 200 OK\r\nX-A: a:b;c=\"d\" \t\u0080\u00e9\u00ff,: {[(~)]}\\\r\n"
            + "%sContent-Length: 16\r\n\r\n"
            + BODY),
    REPEATED_FIELDS("HTTP/1.1 200 OK\r\nX-A: a\r\nX-A: b\r\n%sContent-Length: 16\r\n\r\n" + BODY),
    MANY_FIELDS(
        "HTTP/1.1 200 OK\r\n" + "X-A: a\r\n".repeat(100) + "%sContent-Length: 16\r\n\r\n" + BODY),
    CHUNKS(CHUNKED + "10\r\n" + BODY + "\r\n0\r\n\r\n"),
    CHUNKS_IN_OTHER_CASE(
        "HTTP/1.1 200 OK\r\n%stransfer-ENCODING: \t Chunked \r\n\r\n10\r\n"
            + BODY
            + "\r\n0\r\n\r\n"),
    MANY_CHUNKS(CHUNKED + "00A\r\n0123456789\r\n1\r\na\r\n5\r\nbcdef\r\n000\r\n\r\n"),
    CHUNK_EXTENSIONS(CHUNKED + "a;x\r\n0123456789\r\n6;x=1;y=\"a b\"\r\nabcdef\r\n0;z=1\r\n\r\n"),
    TRAILER(CHUNKED + "10\r\n" + BODY + "\r\n0\r\nX-A: a\r\nX-B:\r\n\r\n"),
    LENGTH_BESIDE_CHUNKS(
        "HTTP/1.1 200 OK\r\n%sContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n"
            + BODY
            + "\r\n0\r\n\r\n"),
    EARLY_HINTS(
        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
            + "HTTP/1.1 200 OK\r\n%sContent-Length: 16\r\n\r\n"
            + BODY),
    CONTINUED(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 16\r\n\r\n" + BODY);

    private final String format;

    Unusual(String format) {
      this.format = format;
    }
  }

  /** Answers without a body, which may state the length of one. */
  enum Bodiless {
    NO_CONTENT("HTTP/1.1 204 No Content\r\n%s\r\n", Call.READ),
    NO_CONTENT_WITH_LENGTH("HTTP/1.1 204 No Content\r\n%sContent-Length: 0\r\n\r\n", Call.WRITE),
    NOT_MODIFIED("HTTP/1.1 304 Not Modified\r\n%sETag: \"a\"\r\n\r\n", Call.READ),
    NOT_MODIFIED_WITH_LENGTH(
        "HTTP/1.1 304 Not Modified\r\n%sContent-Length: 16\r\n\r\n", Call.READ),
    EMPTY("HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", Call.READ),
    EMPTY_CHUNKS("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", Call.READ),
    HEAD_WITH_LENGTH("HTTP/1.1 200 OK\r\n%sContent-Length: 16\r\n\r\n", Call.HEAD),
    HEAD_WITH_CHUNKS("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", Call.HEAD),
    HEAD_WITHOUT_LENGTH("HTTP/1.1 200 OK\r\n%s\r\n", Call.HEAD);

    private final String format;
    private final Call call;

    Bodiless(String format, Call call) {
      this.format = format;
      this.call = call;
    }
  }

  @BeforeAll
  static void start() throws IOException {
    meshes = RelayMesh.startInEachDialect();
  }

  @AfterAll
  static void stop() throws Exception {
    RelayMesh.closeAll(meshes.values());
  }

  private static Stream<Arguments> atEachEntry(Stream<? extends Enum<?>> answers) {
    return answers.flatMap(
        answer ->
            RelayMesh.entries()
                .flatMap(
                    entry ->
                        Stream.of(true, false)
                            .map(isInParts -> Arguments.of(answer, entry, isInParts))));
  }

  static Stream<Arguments> unusualAnswers() {
    return atEachEntry(Stream.of(Unusual.values()));
  }

  static Stream<Arguments> bodilessAnswers() {
    return atEachEntry(Stream.of(Bodiless.values()));
  }

  /** Writes an answer whose connection is kept. */
  private static SocketUpstream.Script script(String format, boolean isInParts) {
    return (request, socket) -> {
      String bytes = String.format(format, RelayMesh.echo(request));
      if (isInParts) {
        SocketUpstream.writeInParts(socket, bytes);
      } else {
        SocketUpstream.write(socket, bytes);
      }
      return true;
    };
  }

  @ParameterizedTest
  @MethodSource("unusualAnswers")
  void shouldDeliverAnswerWhenHeadIsUnusualAndProper(Unusual answer, Entry entry, boolean isInParts)
      throws IOException {
    RelayMesh mesh = meshes.get(entry.dialect());
    mesh.renewUpstream();
    mesh.upstream().setScript(script(answer.format, isInParts));

    try (WireCaller caller = mesh.connect(entry.member())) {
      for (Call call : new Call[] {Call.READ, Call.WRITE}) {
        WireMessage response = caller.send(call);

        assertThat(response.status()).as("%s", response).isEqualTo(200);
        assertThat(response.isComplete()).isTrue();
        assertThat(response.body()).isEqualTo(BODY);
      }
    }
  }

  @ParameterizedTest
  @MethodSource("bodilessAnswers")
  void shouldDeliverAnswerWhenItHasNoBody(Bodiless answer, Entry entry, boolean isInParts)
      throws IOException {
    RelayMesh mesh = meshes.get(entry.dialect());
    mesh.renewUpstream();
    mesh.upstream().setScript(script(answer.format, isInParts));

    try (WireCaller caller = mesh.connect(entry.member())) {
      WireMessage response = caller.send(answer.call);
      mesh.upstream().setScript(RelayMesh::answerSoundly);

      String status = answer.format.substring("HTTP/1.1 ".length()).split(" ", 2)[0];
      assertThat(response.status()).as("%s", response).isEqualTo(Integer.parseInt(status));
      assertThat(response.body()).isEmpty();
      assertThat(RelayMesh.isSound(caller.send(Call.READ))).isTrue();
    }
  }

  /** The platform's servers may leave a length out and end their answer with its connection. */
  @ParameterizedTest
  @MethodSource("members")
  void shouldDeliverAnswerThatEndsWithItsConnection(int member) throws IOException {
    RelayMesh mesh = meshes.get(MeshDialect.PLATFORM);
    mesh.renewUpstream();
    mesh.upstream()
        .setScript(
            (request, socket) -> {
              SocketUpstream.write(
                  socket, "HTTP/1.1 200 OK\r\n" + RelayMesh.echo(request) + "\r\n" + BODY);
              return false;
            });

    try (WireCaller caller = mesh.connect(member)) {
      WireMessage response = caller.send(Call.READ);

      assertThat(response.status()).isEqualTo(200);
      assertThat(response.body()).isEqualTo(BODY);
    }
  }

  static Stream<Integer> members() {
    return Stream.of(0, 1);
  }

  /** Guards against a length that is passed on twice, which other recipients may reject. */
  @ParameterizedTest
  @MethodSource("members")
  void shouldPassOnOneLengthWhenTwoAreEqual(int member) throws IOException {
    RelayMesh mesh = meshes.get(MeshDialect.PARSLEYCART);
    mesh.upstream().setScript(script(Unusual.EQUAL_LENGTHS.format, false));

    try (WireCaller caller = mesh.connect(member)) {
      String response = caller.sendLast(Call.READ);

      assertThat(response).startsWith("HTTP/1.1 200 ").endsWith(BODY);
      assertThat(response.toLowerCase(Locale.ROOT).split("content-length", -1)).hasSize(2);
    }
  }

  /** Guards against a refusal that counts as an unknown outcome because it has a body. */
  @Tag("known-red")
  @ParameterizedTest
  @MethodSource("members")
  void shouldReportNotRunWhenARefusalHasABody(int member) throws IOException {
    RelayMesh mesh = meshes.get(MeshDialect.PLATFORM);
    mesh.renewUpstream();
    mesh.upstream()
        .setScript(
            script(
                "HTTP/1.1 503 Busy\r\n%sParsleycart-Not-Run: 1\r\nContent-Length: 4\r\n\r\nbusy",
                false));

    try (WireCaller caller = mesh.connect(member)) {
      assertThat(caller.send(Call.WRITE).status()).isEqualTo(503);
    }
  }
}
