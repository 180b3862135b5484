package org.parsleycart.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.parsleycart.decision.usage.PostResult;
import org.parsleycart.link.LinkError;
import org.parsleycart.link.http.HttpClient;
import org.parsleycart.link.http.HttpRequest;
import org.parsleycart.link.http.HttpResponse;
import org.parsleycart.platform.PlatformStore;
import org.parsleycart.platform.StoreClock;
import org.parsleycart.platform.UsageReporter;
import org.parsleycart.standin.CallDriver;
import org.parsleycart.store.PlatformError;

/**
 * Guards against a response whose head is none and that a reader of control traffic believes: a
 * write to the store or a usage report that counts as accepted or as not executed, or a content
 * that the server did not send.
 */
class MalformedControlAnswerTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final List<String> STATUSES = List.of("200 OK", "412 No", "429 Busy", "503 Busy");

  private static SocketUpstream server;
  private static HttpClient client;
  private static final List<Socket> USED = new CopyOnWriteArrayList<>();

  @BeforeAll
  static void start() throws IOException {
    server = new SocketUpstream((request, socket) -> false);
    client = HttpClient.start(1);
  }

  @AfterAll
  static void stop() throws IOException {
    client.close();
    server.close();
  }

  static Stream<MalformedHead> heads() {
    return MalformedHead.all();
  }

  private static void respondWith(String bytes) {
    server.setScript(
        (request, socket) -> {
          USED.add(socket);
          SocketUpstream.write(socket, bytes);
          return true;
        });
  }

  /** Answers with a malformed head, beside which a proper length stands. */
  private static void respondWith(MalformedHead head, String status) {
    respondWith(
        "HTTP/1.1 %s\r\nContent-Length: %d\r\n%s\r\n\r\n%s"
            .formatted(status, head.body().length(), head.line(), head.body()));
  }

  private static Either<LinkError, HttpResponse> request(String method) {
    return client.send(server.address(), HttpRequest.of(method, "/"), TIMEOUT);
  }

  @ParameterizedTest
  @MethodSource("heads")
  void shouldReportNoAnswerAndOpenANewConnection(MalformedHead head) {
    for (String status : STATUSES) {
      USED.clear();
      respondWith(head, status);

      Either<LinkError, HttpResponse> response = request("GET");
      assertThat(response.isLeft()).as(status).isTrue();
      assertThat(response.getLeft()).as(status).isInstanceOf(LinkError.NoAnswer.class);

      respondWith("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine");
      assertThat(request("GET").map(HttpResponse::text)).isEqualTo(Either.right("fine"));
      assertThat(USED).hasSize(2).doesNotHaveDuplicates();
    }
  }

  @ParameterizedTest
  @MethodSource("heads")
  void shouldNotKnowWhetherTheStoreExecutedARequest(MalformedHead head) {
    PlatformStore store =
        new PlatformStore(
            client, server.address(), TIMEOUT, new StoreClock(InstantSource.system()));
    for (String status : STATUSES) {
      respondWith(head, status);

      assertThat(
              Stream.of(
                  store.read("a"),
                  store.scan("a", "", 1),
                  store.insertIfAbsent("a", new byte[0]),
                  store.get("a"),
                  store.put("a", new byte[0])))
          .as(status)
          .allMatch(
              result -> result.isLeft() && result.getLeft() instanceof PlatformError.NoAnswer);
    }
  }

  @ParameterizedTest
  @MethodSource("heads")
  void shouldNotCountAUsageReportAsAcceptedOrRefused(MalformedHead head) {
    UsageReporter reporter = new UsageReporter(client, server.address(), "sidecar-1");
    for (String status : STATUSES) {
      respondWith(head, status);

      assertThat(reporter.post("{}", 1, TIMEOUT)).as(status).isEqualTo(PostResult.FAILED);
    }
  }

  /** The driver of the bench and of the stand-ins counts it as a call without an answer. */
  @ParameterizedTest
  @MethodSource("heads")
  void shouldNotCountACallOfTheDriverAsAnswered(MalformedHead head) {
    CallDriver driver = new CallDriver(client, List.of(server.address()), "/", TIMEOUT);
    respondWith(head, "200 OK");

    driver.run(1000, Duration.ofMillis(2), 1);

    assertThat(driver.results()).isEqualTo(Map.of("no answer", 2L));
  }

  /** Guards against bytes behind an answer that are read as the answer to the next request. */
  @Test
  void shouldNotTakeBytesBehindAnAnswerForTheNextOne() {
    String answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine";
    respondWith(answer + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray");
    USED.clear();

    assertThat(request("GET").map(HttpResponse::text)).isEqualTo(Either.right("fine"));
    respondWith(answer);
    assertThat(request("GET").map(HttpResponse::text)).isEqualTo(Either.right("fine"));
    assertThat(USED).hasSize(2).doesNotHaveDuplicates();
  }
}
