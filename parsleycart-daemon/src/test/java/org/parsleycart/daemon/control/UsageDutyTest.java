package org.parsleycart.daemon.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.parsleycart.daemon.PlatformMesh;
import org.parsleycart.platform.standin.UsageStandin;
import org.parsleycart.platform.standin.UsageStandin.Fault;
import org.parsleycart.platform.standin.UsageStandin.Report;

/**
 * Guards against daemons that together report a window twice with different counts, use a token
 * twice, or stop reporting after a fault. Windows and the lease are shorter than usual.
 */
class UsageDutyTest {
  private static final String CONFIGURATION =
      """
      {"version":"r1","routes":{
        "a":{"host":"127.0.0.1","prefix":"/a/","kind":"safe","timeoutMs":900,
             "targetLatencyMs":300,"priority":1,"service":"one","maxAttempts":1}},
       "services":{
        "one":{"healthPath":"/health","maxConnections":50,"coldStartS":0.0,"coldPerS":1000.0}},
       "limits":{"maxHeaderBytes":16384}}
      """;
  private static final String DUTY =
      """
      platformBounds: ["leaseMs=900", "windowS=0.5", "usageLateS=2"]
      duty: {address: "%s", duties: [usage], callsPerSecond: 50, holder: "daemon-{service}"}
      """;

  private UsageStandin platform;
  private PlatformMesh mesh;

  @BeforeEach
  void start() throws IOException {
    platform = UsageStandin.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    mesh =
        PlatformMesh.startWithSettings(
            CONFIGURATION, DUTY.formatted(platform.address()), "one", "two", "three");
  }

  @AfterEach
  void stop() {
    mesh.close();
    platform.close();
  }

  @Test
  void shouldReportEachWindowOnceWithTheSameCounts() {
    awaitReports(3);
    platform.setFault(Fault.ANSWER_LOST);
    awaitReports(5);
    platform.setFault(Fault.BUSY);
    platform.setFault(Fault.NONE);
    awaitReports(8);

    assertRules();
  }

  /** Guards against a successor that reuses the token or reports other counts. */
  @Test
  void shouldGoOnWithTheNextTokenWhenTheHolderIsKilled() {
    awaitReports(2);
    Report first = platform.received().get(0);
    mesh.kill(holder(first.holder()));
    mesh.await(
        () -> platform.received().stream().anyMatch(report -> report.token() > first.token()));
    awaitReports(platform.received().size() + 3);

    assertRules();
    assertThat(platform.received().stream().map(Report::holder).distinct()).hasSize(2);
  }

  /** Guards against a graceful stop that keeps the lease until it expires. */
  @Test
  void shouldGiveTheLeaseBackWhenTheHolderStops() {
    awaitReports(2);
    Report first = platform.received().get(0);
    holder(first.holder()).daemon().close();
    mesh.await(
        () -> platform.received().stream().anyMatch(report -> report.token() > first.token()));

    assertRules();
    assertThat(mesh.store().value("parsleycart", "usage/lease")).isPresent();
  }

  private PlatformMesh.Member holder(String name) {
    List<String> services = List.of("one", "two", "three");
    return mesh.member(services.indexOf(name.substring("daemon-".length())));
  }

  private void awaitReports(int count) {
    mesh.await(() -> platform.received().size() >= count);
  }

  private static String window(Report report) {
    return report.body().replaceAll(",\"counts.*", "");
  }

  private void assertRules() {
    List<Report> received = platform.received();
    assertThat(received).allMatch(report -> report.path().equals("/usage"));
    assertThat(received.stream().map(Report::token).toList()).isSorted();
    assertThat(
            received.stream()
                .collect(
                    Collectors.groupingBy(
                        Report::token, Collectors.mapping(Report::holder, Collectors.toSet())))
                .values())
        .allMatch(holders -> holders.size() == 1);
    received.stream()
        .collect(
            Collectors.groupingBy(
                Report::token, Collectors.mapping(UsageDutyTest::window, Collectors.toList())))
        .values()
        .forEach(windows -> assertThat(windows).isSorted());
    // A successor may repeat windows of its predecessor, with the same counts.
    assertThat(received.stream().map(Report::body).distinct().count())
        .isEqualTo(received.stream().map(UsageDutyTest::window).distinct().count());
  }
}
