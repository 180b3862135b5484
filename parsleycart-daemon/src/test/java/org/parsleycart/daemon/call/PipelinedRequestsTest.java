package org.parsleycart.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleycart.daemon.TestMesh;

/** Callers that send further requests before the first has been answered, from raw bytes. */
class PipelinedRequestsTest {
  private static final String CONFIGURATION =
      """
      zones: [{name: abdali}, {name: marka}]
      contracts:
        - {name: read, kind: interactive-read, deadline: 2s}
        - {name: short, kind: interactive-read, deadline: 300ms}
      services: [{name: ledger, version: v1}, {name: silent, version: v1}]
      routes:
        - {name: read, pathPrefix: /read, service: ledger, contract: read}
        - {name: silent-0, pathPrefix: /silent/0, service: silent, contract: short}
        - {name: silent-1, pathPrefix: /silent/1, service: silent, contract: short}
      """;
  private static final int TIMEOUT_MILLISECONDS = 10_000;
  private static final Pattern STATUS = Pattern.compile("HTTP/1\\.1 (\\d{3})");
  private static TestMesh mesh;
  private static ScriptedUpstream upstream;
  private static ScriptedUpstream silent;

  @BeforeAll
  static void start() throws IOException {
    mesh = TestMesh.start("abdali", "marka");
    mesh.apply(CONFIGURATION);
    upstream = new ScriptedUpstream();
    silent = new ScriptedUpstream();
    silent.respondWith("", false);
    mesh.announce(mesh.member(0), "u0", "ledger", "v1", upstream.address());
    mesh.announce(mesh.member(0), "s0", "silent", "v1", silent.address());
    for (int member = 0; member < 2; member++) {
      mesh.awaitUpstreams(mesh.member(member), "ledger v1 abdali", 1);
      mesh.awaitUpstreams(mesh.member(member), "silent v1 abdali", 1);
    }
  }

  @AfterAll
  static void stop() throws IOException {
    mesh.close();
    upstream.close();
    silent.close();
  }

  @BeforeEach
  void respondWithPath() {
    upstream.respondWithPath();
  }

  private static String get(String path, String... headers) {
    return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + String.join("", headers) + "\r\n";
  }

  /** Sends bytes and returns all that comes back until the daemon closes the connection. */
  private static String exchange(int member, String bytes) throws IOException {
    String[] address = mesh.member(member).callers().split(":", 2);
    try (Socket socket = new Socket(address[0], Integer.parseInt(address[1]))) {
      socket.setSoTimeout(TIMEOUT_MILLISECONDS);
      socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }

  private static List<String> statuses(String responses) {
    return STATUS.matcher(responses).results().map(result -> result.group(1)).toList();
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void shouldRespondInOrderOfRequests(int member) throws IOException {
    String responses =
        exchange(
            member,
            get("/read/first") + get("/read/second") + get("/read/third", "Connection: close\r\n"));

    assertThat(statuses(responses)).containsExactly("200", "200", "200");
    assertThat(responses).containsSubsequence("/read/first", "/read/second", "/read/third");
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void shouldNotRunRequestBehindResponseThatClosesTheConnection(int member) throws IOException {
    int before = upstream.requests();

    String responses =
        exchange(
            member,
            get("/read/first", "Connection: close\r\n") + get("/read/second") + get("/read/third"));

    assertThat(statuses(responses)).containsExactly("200");
    assertThat(responses).contains("/read/first").doesNotContain("/read/second");
    assertThat(upstream.requests()).isEqualTo(before + 1);
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void shouldRespondToRequestsBehindOneThatIsNeverAnswered(int member) throws IOException {
    String responses =
        exchange(
            member,
            get("/silent/" + member)
                + get("/read/second")
                + get("/read/third", "Connection: close\r\n"));

    assertThat(statuses(responses)).containsExactly("504", "200", "200");
    assertThat(responses).containsSubsequence("/read/second", "/read/third");
  }

  /** More pipelined bytes than are read ahead while a request is in progress. */
  @ParameterizedTest
  @CsvSource({"0, 200", "1, 200"})
  void shouldRespondToAllRequestsWhenManyArePipelined(int member, int count) throws IOException {
    StringBuilder requests = new StringBuilder();
    IntStream.range(0, count - 1).forEach(number -> requests.append(get("/read/" + number + "/")));
    requests.append(get("/read/last/", "Connection: close\r\n"));

    String responses = exchange(member, requests.toString());

    assertThat(statuses(responses)).hasSize(count).containsOnly("200");
    assertThat(responses)
        .containsSubsequence(
            IntStream.range(0, count - 1).mapToObj(number -> "/read/" + number + "/").toList());
  }
}
