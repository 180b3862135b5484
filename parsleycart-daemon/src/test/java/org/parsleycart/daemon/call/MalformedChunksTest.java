package org.parsleycart.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.parsleycart.daemon.call.RelayMesh.Entry;
import org.parsleycart.daemon.call.RelayMesh.MeshDialect;
import org.parsleycart.daemon.call.WireCaller.Call;

/**
 * Guards against a body whose chunks or trailer are malformed and that reaches a caller as a
 * complete one.
 */
class MalformedChunksTest {
  private static final String BODY = "0123456789abcdef";
  private static Map<MeshDialect, RelayMesh> meshes;

  /** Bodies, each with one fault. */
  private static final List<String> BODIES =
      List.of(
          "+10\r\n" + BODY + "\r\n0\r\n\r\n",
          "-10\r\n" + BODY + "\r\n0\r\n\r\n",
          "0x10\r\n" + BODY + "\r\n0\r\n\r\n",
          " 10\r\n" + BODY + "\r\n0\r\n\r\n",
          "10 \r\n" + BODY + "\r\n0\r\n\r\n",
          "1 0\r\n" + BODY + "\r\n0\r\n\r\n",
          "10g\r\n" + BODY + "\r\n0\r\n\r\n",
          "\r\n" + BODY + "\r\n0\r\n\r\n",
          ";x\r\n" + BODY + "\r\n0\r\n\r\n",
          "10,10\r\n" + BODY + "\r\n0\r\n\r\n",
          "1\u00000\r\n" + BODY + "\r\n0\r\n\r\n",
          "10;x\u0000\r\n" + BODY + "\r\n0\r\n\r\n",
          "10\n" + BODY + "\r\n0\r\n\r\n",
          "10\r" + BODY + "\r\n0\r\n\r\n",
          "10000000000000010\r\n" + BODY + "\r\n0\r\n\r\n",
          "10\r\n" + BODY + "0\r\n\r\n",
          "10\r\n" + BODY + "x\r\n0\r\n\r\n",
          "10\r\n" + BODY + "\n0\r\n\r\n",
          "9\r\n" + BODY + "\r\n0\r\n\r\n",
          "10\r\n" + BODY + "\r\n\r\n",
          "10\r\n" + BODY + "\r\nzero\r\n\r\n",
          "10\r\n" + BODY + "\r\n0\n\n",
          "10\r\n" + BODY + "\r\n0\r\nno field\r\n\r\n",
          "10\r\n" + BODY + "\r\n0\r\n: no name\r\n\r\n",
          "10\r\n" + BODY + "\r\n0\r\nX Field: a\r\n\r\n",
          "10\r\n" + BODY + "\r\n0\r\nX-Field\u0000: a\r\n\r\n",
          "10\r\n" + BODY + "\r\n0\r\nX-Field: a\u0000\r\n\r\n",
          "10\r\n" + BODY + "\r\n0\r\nX-Field: a\r\n b\r\n\r\n",
          "10\r\n" + BODY + "\r\n0\r\n X-Field: a\r\n\r\n");

  @BeforeAll
  static void start() throws IOException {
    meshes = RelayMesh.startInEachDialect();
  }

  @AfterAll
  static void stop() throws Exception {
    RelayMesh.closeAll(meshes.values());
  }

  static Stream<Arguments> bodies() {
    return RelayMesh.entries()
        .flatMap(
            entry ->
                BODIES.stream()
                    .map(body -> Arguments.of(entry, MalformedHead.visible(body), body)));
  }

  @ParameterizedTest(name = "{0}, {1}")
  @MethodSource("bodies")
  void shouldNotLookCompleteWhenChunksAreMalformed(Entry entry, String name, String body) {
    RelayMesh mesh = meshes.get(entry.dialect());
    mesh.renewUpstream();
    for (boolean isInParts : new boolean[] {false, true}) {
      for (Call call : new Call[] {Call.READ, Call.WRITE}) {
        List<Socket> used = new CopyOnWriteArrayList<>();
        mesh.upstream()
            .setScript(
                (request, socket) -> {
                  used.add(socket);
                  write(request, socket, body, isInParts);
                  return true;
                });

        Optional<WireMessage> response = call(mesh, entry.member(), call);

        assertThat(response.filter(any -> any.status() == 200 && any.isComplete())).isEmpty();
        mesh.upstream()
            .setScript(
                (request, socket) -> {
                  used.add(socket);
                  return RelayMesh.answerSoundly(request, socket);
                });
        assertThat(call(mesh, entry.member(), Call.READ))
            .matches(next -> RelayMesh.isSound(next.get()));
        assertThat(used).hasSize(2).doesNotHaveDuplicates();
      }
    }
  }

  private static void write(WireMessage request, Socket socket, String body, boolean isInParts)
      throws IOException {
    SocketUpstream.write(
        socket,
        "HTTP/1.1 200 OK\r\n"
            + RelayMesh.echo(request)
            + "Parsleycart-Response-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
            + (isInParts ? "" : body));
    if (isInParts) {
      SocketUpstream.writeInParts(socket, body);
    }
  }

  /** Returns the response, empty if the connection ended before its head did. */
  private static Optional<WireMessage> call(RelayMesh mesh, int member, Call call) {
    try (WireCaller caller = mesh.connect(member)) {
      return Optional.of(caller.send(call));
    } catch (IOException e) {
      return Optional.empty();
    }
  }
}
