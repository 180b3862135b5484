package org.parsleycart.daemon.abuse;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.parsleycart.daemon.abuse.SeparateDaemon.Listener;
import org.parsleycart.daemon.abuse.SeparateDaemon.Timeouts;

/**
 * Guards against crowds of clients that use up what a daemon has: its heap, its direct memory or
 * its connections. The crowds are small because the limits of the daemon are lowered.
 */
class ClientCrowdTest {
  private static final int CONNECTIONS = 300;
  private static final String CONNECTION_LIMIT = ", callerConnections: " + CONNECTIONS;
  private static final List<String> SMALL_HEAP = List.of("-Xmx32m");
  private static final List<String> SMALL_DIRECT_MEMORY = List.of("-XX:MaxDirectMemorySize=1m");

  /** The memory of the smallest VM. */
  private static final long MAXIMUM_RESIDENT_MEGABYTES = 330;

  /** The descriptors of the smallest VM without those for files. */
  private static final long MAXIMUM_DESCRIPTORS = 3_900;

  /** The descriptors of a daemon without connections of callers. */
  private static final long OWN_DESCRIPTORS = 200;

  /** With the connections that are allowed when their limit is lowered. */
  private static final long LOWERED_DESCRIPTORS = CONNECTIONS + OWN_DESCRIPTORS;

  private static final int CROWDS = 3;

  /** The clients of a crowd that sends too much for the heap. */
  private static final int CLIENTS = 600;

  /** The clients of a crowd that stays below the lowered limit of connections. */
  private static final int CLIENTS_WITHIN_LIMIT = 290;

  /** Ends a test whose daemon has stopped answering. */
  private static final Duration PATIENCE = Duration.ofSeconds(20);

  /** Where a crowd connects, and the paths that it requests there. */
  enum Target {
    ROUTE(Listener.CALLERS, "/read/x"),
    NO_ROUTE(Listener.CALLERS, "/nowhere/x"),
    DAEMONS(Listener.DAEMONS, "/read/x"),
    READINESS(Listener.READINESS, "/parsleycart/ready"),
    OPERATORS(Listener.OPERATORS, "/metrics");

    private final Listener listener;
    private final String path;

    Target(Listener listener, String path) {
      this.listener = listener;
      this.path = path;
    }

    private AbusiveClients start(AbusiveLoad load, int count, SeparateDaemon daemon)
        throws IOException {
      return new AbusiveClients(load, count, daemon.address(listener), path, path);
    }
  }

  // -- heap

  /** Guards against a daemon that ends because heads of requests have filled its heap. */
  @ParameterizedTest
  @EnumSource(
      value = Target.class,
      names = {"ROUTE", "NO_ROUTE", "DAEMONS", "READINESS"})
  void shouldLiveWhenRequestsHaveManyParameters(Target target) throws Exception {
    checkAfterCrowds(AbusiveLoad.MANY_PARAMETERS, target);
  }

  /** Guards against a daemon that ends because parameters of unfinished heads fill its heap. */
  @ParameterizedTest
  @EnumSource(
      value = Target.class,
      names = {"ROUTE", "NO_ROUTE", "DAEMONS", "READINESS"})
  void shouldLiveWhenUnfinishedHeadsHaveManyParameters(Target target) throws Exception {
    checkAfterCrowds(AbusiveLoad.UNFINISHED_PARAMETERS, target);
  }

  /** Guards against a daemon that ends because fields of unfinished heads fill its heap. */
  @ParameterizedTest
  @EnumSource(
      value = Target.class,
      names = {"ROUTE", "NO_ROUTE", "DAEMONS", "READINESS"})
  void shouldLiveWhenUnfinishedHeadsAreLong(Target target) throws Exception {
    checkAfterCrowds(AbusiveLoad.UNFINISHED_FIELDS, target);
  }

  /** Guards against responses of the daemon itself that fill its heap while nobody reads them. */
  @Test
  void shouldLiveWhenResponsesToOperatorsAreNotRead() throws Exception {
    checkAfterCrowds(AbusiveLoad.UNREAD_RESPONSES, Target.OPERATORS);
  }

  /** Guards against the refusal of each body of unknown length, however short it is. */
  @Test
  void shouldServeOperatorWhenLengthOfBodyIsUnknown() throws Exception {
    try (SeparateDaemon daemon = SeparateDaemon.start(SMALL_HEAP, "", Timeouts.SHORT)) {
      String answer =
          daemon.answerTo(
              Listener.OPERATORS,
              """
              GET /status HTTP/1.1
              Host: a
              Connection: close
              Transfer-Encoding: chunked

              3
              abc
              0

              """
                  .replace("\n", "\r\n"));

      assertThat(answer).startsWith("HTTP/1.1 200 ");
    }
  }

  private static void checkAfterCrowds(AbusiveLoad load, Target target) throws Exception {
    try (SeparateDaemon daemon = SeparateDaemon.start(SMALL_HEAP, "", Timeouts.SHORT)) {
      for (int crowd = 0; crowd < CROWDS; crowd++) {
        try (AbusiveClients clients = target.start(load, CLIENTS, daemon)) {
          clients.awaitEstablished();
          checkProcess(daemon, MAXIMUM_DESCRIPTORS);
        }
        checkAnswers(daemon);
        checkThatConnectionsEnd(daemon);
      }
    }
  }

  // -- direct memory

  /** Guards against I/O threads that wait for direct memory that requests sent ahead hold. */
  @ParameterizedTest
  @EnumSource(
      value = Target.class,
      names = {"ROUTE", "NO_ROUTE"})
  void shouldAnswerWhenRequestsAreSentAhead(Target target) throws Exception {
    try (SeparateDaemon daemon =
        SeparateDaemon.start(SMALL_DIRECT_MEMORY, CONNECTION_LIMIT, Timeouts.SHORT)) {
      for (int crowd = 0; crowd < CROWDS; crowd++) {
        try (AbusiveClients clients =
            target.start(AbusiveLoad.SENT_AHEAD, CLIENTS_WITHIN_LIMIT, daemon)) {
          clients.awaitEstablished();
          checkProcess(daemon, LOWERED_DESCRIPTORS);
        }
        checkAnswers(daemon);
        checkThatConnectionsEnd(daemon);
      }
    }
  }

  /** Guards against refusals that hang, or that do not say that the request has not run. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "GET /read/x HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\nGET /read/y HTTP/1.1\r\n",
        "POST /read/x HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 100000\r\n\r\nhello"
      })
  void shouldRefuseWhatWouldKeepABufferWhenAllAreTaken(String bytes) throws Exception {
    String unanswered =
        "GET /read/%s HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\nGET /read/x HTTP/1.1\r\n"
            .formatted(SeparateDaemon.UNANSWERED);
    List<Socket> holders = new ArrayList<>();
    try (SeparateDaemon daemon =
        SeparateDaemon.start(List.of(), ", bufferBytes: 262144", Timeouts.SHORT)) {
      for (int holder = 0; holder < 32; holder++) {
        holders.add(daemon.send(Listener.CALLERS, unanswered));
      }
      // The 33rd buffer is more than there are, whatever is guaranteed to others.
      String answer = daemon.answerTo(Listener.CALLERS, bytes);

      assertThat(answer).startsWith("HTTP/1.1 503 ").contains("Retry-After");
      assertThat(daemon.isAlive()).isTrue();
    } finally {
      for (Socket holder : holders) {
        holder.close();
      }
    }
  }

  // -- connections

  /** Guards against clients that send nothing and keep all others out. */
  @Test
  void shouldAnswerBesideConnectionsThatAreSilent() throws Exception {
    checkBeside(AbusiveLoad.SILENT);
  }

  /** Guards against clients that send only empty lines and keep all others out. */
  @ParameterizedTest
  @EnumSource(
      value = AbusiveLoad.class,
      names = {"EMPTY_LINES", "BARE_LINE_FEEDS", "STOPPED_LINES"})
  void shouldAnswerBesideEmptyLines(AbusiveLoad load) throws Exception {
    checkBeside(load);
  }

  /** The clients are as many as the connections that are allowed, and stay while others call. */
  private static void checkBeside(AbusiveLoad load) throws Exception {
    try (SeparateDaemon daemon = SeparateDaemon.start(List.of(), CONNECTION_LIMIT, Timeouts.LONG);
        AbusiveClients clients = Target.ROUTE.start(load, CONNECTIONS + 100, daemon)) {
      clients.awaitEstablished();
      checkAnswers(daemon);
      checkProcess(daemon, LOWERED_DESCRIPTORS);
    }
  }

  // -- checks

  private static void checkProcess(SeparateDaemon daemon, long maximumDescriptors)
      throws IOException {
    assertThat(daemon.isAlive()).as("alive").isTrue();
    assertThat(daemon.residentMegabytes())
        .as("resident megabytes")
        .isLessThan(MAXIMUM_RESIDENT_MEGABYTES);
    assertThat(daemon.descriptors()).as("descriptors").isLessThan(maximumDescriptors);
  }

  /** Checks that the daemon closes the connections of clients that have left. */
  private static void checkThatConnectionsEnd(SeparateDaemon daemon) throws IOException {
    long deadline = System.nanoTime() + PATIENCE.toNanos();
    while (daemon.descriptors() >= OWN_DESCRIPTORS && System.nanoTime() < deadline) {
      LockSupport.parkNanos(Duration.ofMillis(20).toNanos());
    }
    checkProcess(daemon, OWN_DESCRIPTORS);
  }

  private static void checkAnswers(SeparateDaemon daemon) {
    assertThat(daemon.newCallerStatus(daemon.address(Listener.CALLERS), "/read/ordinary", PATIENCE))
        .as("status of a call")
        .isEqualTo(200);
    assertThat(
            daemon.newCallerStatus(
                daemon.address(Listener.READINESS), "/parsleycart/ready", PATIENCE))
        .as("status of readiness")
        .isEqualTo(200);
    assertThat(daemon.isAlive()).as("alive").isTrue();
  }
}
