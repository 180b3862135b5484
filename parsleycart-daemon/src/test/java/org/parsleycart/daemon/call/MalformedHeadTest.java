package org.parsleycart.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.IntStream;
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
 * Guards against a response whose head is none and that reaches a caller as an answer, with a line
 * that is no field passed on or with a body that is not the one of the upstream.
 */
class MalformedHeadTest {
  private static final List<Call> CALLS = List.of(Call.values());
  private static final List<Place> PLACES = List.of(Place.values());

  /** A status that says, with a header of either dialect, that the request has not run. */
  private static final String REFUSAL =
      "503 Busy\r\nParsleycart-Not-Run: 1\r\nX-Parsleycart-Not-Run: 1";

  private static final List<String> STATUSES = List.of("200 OK", "500 Trouble", REFUSAL);

  private static Map<MeshDialect, RelayMesh> meshes;

  /** Where the malformed lines stand in a head whose other lines are in order. */
  enum Place {
    FIRST {
      @Override
      String fields(String malformed, String others) {
        return malformed + others;
      }
    },
    LAST {
      @Override
      String fields(String malformed, String others) {
        return others + malformed;
      }
    };

    abstract String fields(String malformed, String others);
  }

  /**
   * An answer of an upstream in trouble.
   *
   * @param hasLength whether a proper length stands beside the malformed lines
   * @param isInParts whether each byte is sent alone
   */
  record Answer(
      MalformedHead head,
      Call call,
      Place place,
      boolean hasLength,
      boolean isKept,
      String status,
      boolean isInParts) {

    private boolean write(WireMessage request, Socket socket) throws IOException {
      String others =
          RelayMesh.echo(request)
              + "Parsleycart-Response-Stamp: s\r\n"
              + (hasLength ? "Content-Length: " + body().length() + "\r\n" : "");
      String bytes =
          "HTTP/1.1 "
              + status
              + "\r\n"
              + place.fields(head.line() + "\r\n", others)
              + "\r\n"
              + (call.hasResponseBody() ? body() : "");
      if (isInParts) {
        SocketUpstream.writeInParts(socket, bytes);
      } else {
        SocketUpstream.write(socket, bytes);
      }
      return isKept;
    }

    /** Returns the body, which a refusal does not have. */
    private String body() {
      return status.equals(REFUSAL) ? "" : head.body();
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

  static Stream<Arguments> heads() {
    return RelayMesh.entries()
        .flatMap(entry -> MalformedHead.all().map(head -> Arguments.of(entry, head)));
  }

  /** Returns answers in which every two of their properties meet in each combination. */
  private static List<Answer> answers(MalformedHead head) {
    return IntStream.range(0, 24)
        .mapToObj(
            index -> {
              Call call = CALLS.get(index % 3);
              Place place = PLACES.get(index / 3 % 2);
              boolean hasLength = index / 6 % 2 == 0;
              boolean isKept = index / 12 % 2 == 0;
              String status = STATUSES.get((index + index / 3 + index / 12) % 3);
              boolean isInParts = (index + index / 3 + index / 6) % 2 == 0;
              return new Answer(head, call, place, hasLength, isKept, status, isInParts);
            })
        .toList();
  }

  @ParameterizedTest
  @MethodSource("heads")
  void shouldReportUnknownWhenHeadIsMalformed(Entry entry, MalformedHead head) throws IOException {
    RelayMesh mesh = meshes.get(entry.dialect());
    mesh.renewUpstream();
    List<String> wrong = new ArrayList<>();
    try (WireCaller caller = mesh.connect(entry.member())) {
      for (Answer answer : answers(head)) {
        String result = result(mesh, caller, answer);
        if (!result.isEmpty()) {
          wrong.add(answer + ": " + result);
        }
      }
    }

    assertThat(wrong).isEmpty();
  }

  /** Returns what was wrong with a call, empty if nothing. */
  private static String result(RelayMesh mesh, WireCaller caller, Answer answer)
      throws IOException {
    List<Socket> used = new CopyOnWriteArrayList<>();
    mesh.upstream()
        .setScript(
            (request, socket) -> {
              used.add(socket);
              return answer.write(request, socket);
            });
    WireMessage response = caller.send(answer.call());
    mesh.upstream()
        .setScript(
            (request, socket) -> {
              used.add(socket);
              return RelayMesh.answerSoundly(request, socket);
            });
    WireMessage next = caller.send(Call.READ);

    if (response.status() != 502
        || !response.header("X-Parsleycart-Outcome").equals(outcome(response))) {
      return "caller got " + response;
    }
    if (!RelayMesh.isSound(next)) {
      return "next caller got " + next;
    }
    return used.size() == 2 && used.get(0) != used.get(1) ? "" : "connection used again";
  }

  /** Returns the outcome that a response must state, if its dialect has outcomes. */
  private static Optional<String> outcome(WireMessage response) {
    return response.header("X-Parsleycart-Outcome").map(stated -> "unknown");
  }
}
