package org.parsleycart.daemon.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.parsleycart.daemon.state.WorkerHealth;
import org.parsleycart.decision.membership.MemberRecord;
import org.parsleycart.decision.membership.MemberStatus;
import org.parsleycart.decision.message.ControlMessage;
import org.parsleycart.decision.message.ControlMessage.UsageRequest;
import org.parsleycart.decision.usage.ClockReading;
import org.parsleycart.decision.usage.DutyHolder;
import org.parsleycart.decision.usage.LeaseState;
import org.parsleycart.decision.usage.UsageCounts;
import org.parsleycart.decision.usage.UsageReportPlan;
import org.parsleycart.decision.usage.UsageSchedule;
import org.parsleycart.decision.usage.UsageWindows;
import org.parsleycart.link.Addresses;
import org.parsleycart.link.ControlTrafficCounters;
import org.parsleycart.link.EnvelopeCodec;
import org.parsleycart.link.FrameClient;
import org.parsleycart.link.FrameServer;
import org.parsleycart.link.FreePorts;
import org.parsleycart.link.PeerKeys;
import org.parsleycart.link.http.HttpClient;
import org.parsleycart.platform.UsageReporter;
import org.parsleycart.platform.standin.UsageStandin;
import org.parsleycart.platform.standin.UsageStandin.Fault;
import org.parsleycart.store.Platform;
import org.parsleycart.store.PlatformError;
import org.parsleycart.store.TransactionalTable;

/** Guards the counts that a holder reports. Time passes only when the test advances it. */
class UsageWorkerTest {
  private static final UsageWindows WINDOWS = new UsageWindows(Duration.ofSeconds(5));
  private static final UsageSchedule SCHEDULE =
      UsageSchedule.of(WINDOWS, Duration.ofSeconds(10), 50);
  private static final Instant START = Instant.ofEpochSecond(1_000_000_000);
  private static final long FIRST = WINDOWS.at(START);
  private static final Optional<String> PULO = Optional.of("pulo780");
  private static final String SELF = "127.0.0.1:1";

  /** Bounds a run that hangs; far more steps than any of the tests needs. */
  private static final int MAXIMUM_STEPS = 2_000;

  private final UsageStandin platform =
      UsageStandin.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  private final HttpClient client = HttpClient.startResettingOnClose(1);
  private final TransactionalTable table = Platform.inMemory().table();
  private final EnvelopeCodec codec =
      new EnvelopeCodec(PeerKeys.of(List.of("test-key-0123456789")));
  private volatile Instant now = START;
  private final InstantSource clock = () -> now;
  private final UsageCounts ownCounts = counts();
  private final UsageCounts peerCounts = counts();
  private volatile boolean isPeerEarlierBuild;
  private volatile boolean isStoreReachable = true;
  private String peer;
  private LocalUsage peerUsage;
  private FrameServer peerServer;

  @BeforeEach
  void startPeer() throws IOException {
    int port = FreePorts.find(1).get(0);
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    peer = Addresses.format(address);
    peerUsage = new LocalUsage(peer, 1, Optional.of(peerCounts), clock);
    peerServer =
        FrameServer.open(
            address,
            codec,
            new ControlTrafficCounters(),
            request ->
                isPeerEarlierBuild
                    ? new ControlMessage.Failure("a message of this type takes no answer")
                    : peerUsage.answer((UsageRequest) request),
            (thread, cause) -> {});
  }

  @AfterEach
  void stop() throws IOException {
    peerServer.close();
    client.close();
    platform.close();
  }

  /** Guards against counts of other daemons that are left out or added twice. */
  @Test
  void shouldReportTheSumOverAllDaemons() {
    UsageWorker worker = worker("a", ownCounts, SELF);
    ownCounts.recordBegun(PULO);
    peerCounts.recordBegun(PULO);
    peerCounts.recordBegun(PULO);
    platform.setFault(Fault.ANSWER_LOST);

    actUntilReceived(worker, 1);
    platform.setFault(Fault.NONE);
    actUntilReceived(worker, 3);

    assertThat(bodies()).containsOnlyOnce(report(FIRST + 1, "")).contains(report(FIRST, "3"));
    assertThat(bodies().get(0)).isEqualTo(bodies().get(1)).isEqualTo(report(FIRST, "3"));
  }

  /** Guards against a report that waits for ever for a daemon that does not know the request. */
  @Test
  void shouldReportInTimeWithoutDaemonsThatDoNotAnswer() {
    isPeerEarlierBuild = true;
    UsageWorker worker = worker("a", ownCounts, SELF);
    ownCounts.recordBegun(PULO);

    actUntilReceived(worker, 1);

    assertThat(bodies()).containsExactly(report(FIRST, "1"));
    assertThat(now).isBefore(WINDOWS.endOf(FIRST).plusSeconds(10));
  }

  /** Guards against counts that are lost when a daemon stops before they are gathered. */
  @Test
  void shouldAddTheStoredCountsOfADaemonThatHasStopped() throws IOException {
    UsageWorker worker = worker("a", ownCounts, SELF);
    worker.act();
    peerCounts.recordBegun(PULO);
    worker("b", peerCounts, peer).storeCounts();
    peerServer.close();

    actUntilReceived(worker, 1);

    assertThat(bodies()).containsExactly(report(FIRST, "1"));
  }

  /** Guards against a holder that goes on with an expired lease after its VM was suspended. */
  @Test
  void shouldNotActAfterAPauseUntilItHasTheLeaseAgain() {
    UsageWorker paused = worker("a", ownCounts, SELF);
    actUntilReceived(paused, 1);
    isStoreReachable = false;
    UsageWorker successor = worker("b", counts(), SELF, table);
    now = now.plusSeconds(60);
    actUntilReceived(successor, 2);
    int received = platform.received().size();

    paused.act();
    assertThat(platform.received()).hasSize(received);
    isStoreReachable = true;
    paused.act();

    assertThat(platform.received()).hasSize(received);
    assertThat(platform.received().get(received - 1).token()).isEqualTo(2);
  }

  /** Guards against rows that stay after their windows are reported. */
  @Test
  void shouldDeleteTheRowsOfReportedWindows() {
    UsageWorker worker = worker("a", ownCounts, SELF);

    actUntilReceived(worker, 12);

    assertThat(table.scan("usage/report/", "", 100).get()).hasSizeLessThan(7);
  }

  private UsageCounts counts() {
    return new UsageCounts(WINDOWS, SCHEDULE.maximumAge(), clock);
  }

  private UsageWorker worker(String name, UsageCounts counts, String identifier) {
    return worker(name, counts, identifier, unreliableTable());
  }

  /** Returns the table as one daemon sees it, which may be cut off from it. */
  private TransactionalTable unreliableTable() {
    return (TransactionalTable)
        Proxy.newProxyInstance(
            TransactionalTable.class.getClassLoader(),
            new Class<?>[] {TransactionalTable.class},
            (proxy, method, arguments) ->
                isStoreReachable
                    ? method.invoke(table, arguments)
                    : Either.left(new PlatformError.Unreachable("test")));
  }

  private UsageWorker worker(
      String name, UsageCounts counts, String identifier, TransactionalTable rows) {
    ClockReading started = reading();
    return UsageWorker.create(
        new LocalUsage(identifier, 1, Optional.of(counts), clock),
        () ->
            Optional.of(
                new MembershipView(member(identifier), List.of(member(SELF), member(peer)))),
        new UsageRows(rows, () -> 0),
        new FrameClient(codec, new ControlTrafficCounters()),
        new UsageReporter(client, platform.address(), name),
        new DutyHolder(
            LeaseState.initial(name, name, Duration.ofSeconds(3), started),
            UsageReportPlan.after(SCHEDULE, FIRST - 1)),
        this::reading,
        new UsageStatistics(),
        new WorkerHealth());
  }

  private ClockReading reading() {
    long milliseconds = now.toEpochMilli();
    return new ClockReading(milliseconds, milliseconds, milliseconds);
  }

  private static MemberRecord member(String identifier) {
    return new MemberRecord(
        identifier, 1, 1, MemberStatus.ALIVE, "z", identifier, Map.of(), List.of());
  }

  private void actUntilReceived(UsageWorker worker, int reports) {
    for (int step = 0; platform.received().size() < reports && step < MAXIMUM_STEPS; step++) {
      worker.act();
      now = now.plusMillis(50);
      // Lets the threads that wait for other daemons run.
      LockSupport.parkNanos(1_000_000);
    }
    assertThat(platform.received()).hasSizeGreaterThanOrEqualTo(reports);
  }

  private List<String> bodies() {
    return Stream.of(platform.received()).flatMap(List::stream).map(each -> each.body()).toList();
  }

  private static String report(long window, String count) {
    return "{\"window\":"
        + window
        + ",\"counts\":{"
        + (count.isEmpty() ? "" : "\"pulo780\":" + count)
        + "}}";
  }
}
