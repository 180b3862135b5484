package org.parsleycart.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.parsleycart.daemon.PlatformMesh;
import org.parsleycart.daemon.PlatformMesh.Heartbeat;
import org.parsleycart.link.http.HttpRequest;

/** Guards against requests that daemons and upstreams could read in different ways. */
class MalformedRequestTest {
  private static final String CONFIGURATION =
      """
      {"version":"r1","routes":{
        "a":{"host":"127.0.0.1","prefix":"/a/","kind":"upload","timeoutMs":2000,
             "targetLatencyMs":300,"priority":1,"service":"one","maxAttempts":1}},
       "services":{
        "one":{"healthPath":"/health","maxConnections":50,"coldStartS":0.0,"coldPerS":1000.0}},
       "limits":{"maxHeaderBytes":16384}}
      """;
  private static final int TIMEOUT_MILLISECONDS = 10_000;

  private static PlatformMesh mesh;
  private static SocketUpstream upstream;

  /** A request and the status with which it is answered before its connection is closed. */
  enum Malformed {
    UNKNOWN_CODING("POST /a/x", "Transfer-Encoding: gzip\r\n", "body", 400),
    CODING_BEHIND_CHUNKED("POST /a/x", "Transfer-Encoding: chunked, gzip\r\n", "0\r\n\r\n", 400),
    UNKNOWN_CODING_WITHOUT_ROUTE("POST /none/x", "Transfer-Encoding: gzip\r\n", "body", 400),
    NUL_IN_FIELD("GET /a/x", "X-Field: a\0b\r\n", "", 400),
    NUL_IN_FIELD_WITHOUT_ROUTE("GET /none/x", "X-Field: a\0b\r\n", "", 400),
    DOT_SEGMENT("GET /a/../b/x", "", "", 400),
    ENCODED_DOT_SEGMENT("GET /a/%2e%2E/b/x", "", "", 400);

    private final String bytes;
    private final int status;

    Malformed(String start, String fields, String body, int status) {
      this.bytes = start + " HTTP/1.1\r\nHost: 127.0.0.1\r\n" + fields + "\r\n" + body;
      this.status = status;
    }
  }

  @BeforeAll
  static void start() throws IOException {
    mesh = PlatformMesh.start(CONFIGURATION, "one");
    upstream =
        new SocketUpstream(
            (request, socket) -> {
              SocketUpstream.write(
                  socket,
                  "HTTP/1.1 200 OK\r\nParsleycart-Attempt-Id: "
                      + request.header("Parsleycart-Attempt-Id").orElse("")
                      + "\r\nContent-Length: 4\r\n\r\nfine");
              return true;
            });
    mesh.beat(mesh.member(0), Heartbeat.ready("i-one", "one", upstream.address(), 1));
    mesh.await(
        () ->
            mesh.send(
                        mesh.member(0).callers(),
                        HttpRequest.of("GET", "/a/..name/x").header("Parsleycart-Attempt-Id", "q"))
                    .status()
                == 200);
  }

  @AfterAll
  static void stop() throws IOException {
    mesh.close();
    upstream.close();
  }

  @ParameterizedTest
  @EnumSource(Malformed.class)
  void shouldRefuseRequestAndCloseItsConnectionWhenItIsMalformed(Malformed malformed)
      throws IOException {
    int before = upstream.requests();
    String[] address = mesh.member(0).callers().split(":", 2);
    try (Socket socket = new Socket(address[0], Integer.parseInt(address[1]))) {
      socket.setSoTimeout(TIMEOUT_MILLISECONDS);
      SocketUpstream.write(socket, malformed.bytes);

      String response =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);

      assertThat(response).startsWith("HTTP/1.1 " + malformed.status + " ");
    }
    assertThat(upstream.requests()).isEqualTo(before);
  }
}
