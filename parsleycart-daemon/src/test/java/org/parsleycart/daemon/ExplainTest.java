package org.parsleycart.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.parsleycart.link.http.HttpRequest;
import org.parsleycart.link.http.HttpResponse;
import org.parsleycart.platform.standin.StoreFault;
import org.parsleycart.standin.UpstreamStandin;

/**
 * Guards against an explanation that differs from where calls then go. Routes have one candidate,
 * so that calls are not drawn by chance.
 */
class ExplainTest {
  private static final String CONFIGURATION =
      """
      zones: [{name: abdali}, {name: marka}]
      contracts: [{name: read, kind: interactive-read, deadline: 2s}]
      services: [{name: ledger, version: v1}, {name: notifier, version: v1}, {name: idle}]
      routes:
        - {name: ledger, pathPrefix: /ledger, service: ledger, contract: read}
        - {name: notifier, pathPrefix: /notifier, service: notifier, contract: read}
        - {name: idle, pathPrefix: /idle, service: idle, contract: read}
      """;

  private TestMesh mesh;
  private UpstreamStandin abdaliUpstream;
  private UpstreamStandin markaUpstream;

  @BeforeEach
  void start() throws IOException {
    mesh = TestMesh.start("abdali", "marka");
    mesh.apply(CONFIGURATION);
    abdaliUpstream = startUpstream("abdali");
    markaUpstream = startUpstream("marka");
    mesh.announce(mesh.member(0), "u-abdali", "ledger", "v1", abdaliUpstream.address());
    mesh.announce(mesh.member(1), "u-marka", "notifier", "v1", markaUpstream.address());
    mesh.awaitUpstreams(mesh.member(0), "ledger v1 abdali", 1);
    mesh.awaitUpstreams(mesh.member(0), "notifier v1 marka", 1);
  }

  @AfterEach
  void stop() {
    mesh.close();
    abdaliUpstream.close();
    markaUpstream.close();
  }

  private static UpstreamStandin startUpstream(String name) {
    return UpstreamStandin.start(
        name,
        "v1",
        UpstreamStandin.warmModel(8, Duration.ofMillis(5)),
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  private HttpResponse explain(String query) {
    return mesh.send(mesh.member(0).operators(), HttpRequest.of("GET", "/explain?" + query));
  }

  private HttpResponse call(String path) {
    return mesh.send(mesh.member(0).callers(), HttpRequest.of("GET", path));
  }

  /** Returns the metrics that count calls that have ended, refusals and retries. */
  private Map<String, String> callMetrics() {
    return mesh.send(mesh.member(0).operators(), HttpRequest.of("GET", "/metrics"))
        .text()
        .lines()
        .filter(line -> line.matches("parsleycart_(calls_seconds_count|refusals|retries).*"))
        .map(line -> line.split(" "))
        .collect(Collectors.toMap(parts -> parts[0], parts -> parts[1]));
  }

  @Test
  void shouldNameTheUpstreamThatAnswersTheCall() {
    assertThat(explain("path=/ledger/1").text())
        .contains("\"route\":\"ledger\"")
        .containsPattern("\"upstream\":\"u-abdali\"[^}]*\"zone\":\"abdali\"[^}]*\"perMille\":1000")
        .contains("\"refusals\":[]");
    assertThat(explain("path=/notifier/1").text())
        .containsPattern("\"upstream\":\"u-marka\"[^}]*\"zone\":\"marka\"[^}]*\"perMille\":1000");

    assertThat(call("/ledger/1").header("x-upstream")).contains("abdali");
    assertThat(call("/notifier/1").header("x-upstream")).contains("marka");
    assertThat(explain("path=/ledger/1").text())
        .containsPattern("\"upstream\":\"u-abdali\"[^}]*\"loadAgeMilliseconds\":[0-9]+");
  }

  @Test
  void shouldNameTheRefusalThatTheCallGets() {
    assertThat(explain("path=/idle").text())
        .contains("\"by\":\"entry\",\"reason\":\"no-upstream\",\"status\":503,\"perMille\":1000");
    assertThat(call("/idle").header("x-parsleycart-reason")).contains("no-upstream");

    mesh.send(
        mesh.member(0).operators(), HttpRequest.of("POST", "/zones/abdali/withdraw?force=true"));
    mesh.awaitUpstreams(mesh.member(0), "ledger v1 abdali", 0);

    assertThat(explain("path=/ledger").text())
        .containsPattern("\"upstream\":\"u-abdali\"[^}]*\"excluded\":\"zone-withdrawn\"");
    assertThat(call("/ledger").header("x-parsleycart-reason")).contains("no-upstream");
  }

  /** The answer holds only shortly after a call, whose latency admission expects of the next. */
  @Test
  void shouldNameTheAdmissionThatRefusesWhenTheDeadlineIsTooShort() {
    mesh.await(
        () ->
            call("/ledger").status() == 200
                && explain("path=/ledger&deadline=1")
                    .text()
                    .contains("\"by\":\"u-abdali\",\"reason\":\"deadline\""));

    assertThat(explain("path=/ledger&deadline=1").text()).contains("\"deadlineMilliseconds\":1,");
    assertThat(explain("path=/ledger&deadline=9000").text())
        .contains("\"deadlineMilliseconds\":2000,");
  }

  /** Guards against questions that reach an upstream or count as calls. */
  @Test
  void shouldCountAndSendNothingWhenAskedOften() {
    call("/ledger");
    mesh.await(() -> callMetrics().containsValue("1"));
    Map<String, String> before = callMetrics();
    long answeredBefore = abdaliUpstream.answered();

    List.of("path=/ledger", "path=/notifier&zone=marka&organisation=o", "path=/none", "path=x")
        .forEach(this::explain);

    assertThat(callMetrics()).isEqualTo(before);
    assertThat(abdaliUpstream.answered()).isEqualTo(answeredBefore);
  }

  @Test
  void shouldRejectAnUnknownRouteAndAMalformedQuestion() {
    HttpResponse unknownRoute = explain("path=/none&host=shop.example");
    assertThat(unknownRoute.status()).isEqualTo(404);
    assertThat(unknownRoute.text())
        .contains("no route for host shop.example and path /none")
        .contains("\"reason\":\"no-route\"");
    assertThat(call("/none").status()).isEqualTo(404);

    HttpResponse malformed = explain("path=ledger&deadline=soon&color=red");
    assertThat(malformed.status()).isEqualTo(400);
    assertThat(malformed.text()).contains("path is", "deadline is", "unknown parameter");
    assertThat(explain("path=/ledger&zone=nowhere").text()).contains("unknown zone");
  }

  @Test
  void shouldSayThatItIsNotReadyWithoutAConfirmedConfiguration() throws IOException {
    mesh.platform().setFault(StoreFault.DOWN);
    TestMesh.Member newcomer = mesh.add("abdali");

    HttpResponse answer =
        mesh.send(newcomer.operators(), HttpRequest.of("GET", "/explain?path=/ledger"));

    assertThat(answer.status()).isEqualTo(503);
    assertThat(answer.text()).contains("\"reason\":\"not-ready\"");
  }
}
