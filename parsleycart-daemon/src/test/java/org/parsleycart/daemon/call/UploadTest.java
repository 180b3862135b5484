package org.parsleycart.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleycart.daemon.TestMesh;
import org.parsleycart.link.http.HttpRequest;
import org.parsleycart.link.http.HttpResponse;

/** Uploads whose bodies are larger than what a daemon holds in memory, over one and two hops. */
class UploadTest {
  private static final String CONFIGURATION =
      """
      zones: [{name: abdali}, {name: marka}]
      contracts: [{name: upload, kind: upload, deadline: 5s}]
      services: [{name: album, version: v1}]
      routes: [{name: upload, pathPrefix: /upload, service: album, contract: upload}]
      """;

  /** Above the 1,000 bytes that the settings of the test mesh allow to be held. */
  private static final int BODY_BYTES = 90_000;

  private static final int TIMEOUT_MILLISECONDS = 10_000;
  private static TestMesh mesh;
  private static ScriptedUpstream upstream;

  @BeforeAll
  static void start() throws IOException {
    mesh = TestMesh.start("abdali", "marka");
    mesh.apply(CONFIGURATION);
    upstream = new ScriptedUpstream();
    mesh.announce(mesh.member(0), "u0", "album", "v1", upstream.address());
    mesh.awaitUpstreams(mesh.member(0), "album v1 abdali", 1);
    mesh.awaitUpstreams(mesh.member(1), "album v1 abdali", 1);
  }

  @AfterAll
  static void stop() throws IOException {
    mesh.close();
    upstream.close();
  }

  @BeforeEach
  void respondNormally() {
    upstream.respondWith(ScriptedUpstream.ok("stored"), false);
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void shouldTransferWholeBody(int member) {
    HttpResponse response =
        mesh.send(
            mesh.member(member).callers(),
            HttpRequest.of("POST", "/upload").body("x".repeat(BODY_BYTES)));

    assertThat(response.status()).isEqualTo(200);
    assertThat(upstream.lastHead()).contains("content-length: " + BODY_BYTES);
  }

  @ParameterizedTest
  @CsvSource({"0, ''", "1, ''", "0, 'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nsto'"})
  void shouldNotSendBodyAgainWhenResponseIsLost(int member, String bytes) {
    upstream.respondWith(bytes, true);
    int before = upstream.requests();

    mesh.client()
        .send(
            mesh.member(member).callers(),
            HttpRequest.of("POST", "/upload").body("x".repeat(BODY_BYTES)),
            Duration.ofMillis(TIMEOUT_MILLISECONDS))
        .forEach(response -> assertThat(response.status()).isGreaterThanOrEqualTo(500));

    assertThat(upstream.requests()).isEqualTo(before + 1);
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void shouldNotRunUploadWhenItsBodyIsCutOff(int member) throws IOException {
    int before = upstream.requests();
    String[] address = mesh.member(member).callers().split(":", 2);
    try (Socket socket = new Socket(address[0], Integer.parseInt(address[1]))) {
      socket.setSoTimeout(TIMEOUT_MILLISECONDS);
      OutputStream output = socket.getOutputStream();
      output.write(
          ("POST /upload HTTP/1.1\r\nHost: a\r\nContent-Length: " + BODY_BYTES + "\r\n\r\nxxx")
              .getBytes(StandardCharsets.ISO_8859_1));
      output.flush();
      socket.shutdownOutput();

      String response =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);

      assertThat(response).doesNotContain(" 200 ");
    }
    assertThat(upstream.requests()).isEqualTo(before);
  }
}
