package org.parsleycart.decision.protection;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.RepetitionInfo;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.parsleycart.decision.protection.ConnectionUsage.Phase;

/**
 * Guards against closing ordinary callers, and against keeping clients that only hold resources.
 */
class ProtectionRuleTest {
  private static final ProtectionLimits LIMITS =
      new ProtectionLimits(Duration.ofSeconds(3), Duration.ofSeconds(15), 2, 1000);

  private static final List<Phase> PHASES = List.of(Phase.values());

  private final ProtectionRule rule = new ProtectionRule(LIMITS);
  private final Map<String, ConnectionUsage> usages = new LinkedHashMap<>();

  private void add(String name, Phase phase, long heldBytes, int secondsWithoutProgress) {
    usages.put(
        name, new ConnectionUsage(phase, heldBytes, Duration.ofSeconds(secondsWithoutProgress)));
  }

  @ParameterizedTest
  @EnumSource(
      value = Phase.class,
      names = {"IDLE", "SERVED"})
  void shouldKeepConnectionWhenItsClientIsNotAwaited(Phase phase) {
    for (int index = 0; index < 10; index++) {
      add("c" + index, phase, 10_000, 60);
    }

    assertThat(rule.connectionsToClose(usages)).isEmpty();
    assertThat(rule.connectionToReplace(usages)).isEmpty();
  }

  @Test
  void shouldCloseSenderWhenItMakesNoProgressForTheMaximumTime() {
    add("slow", Phase.SENDING, 0, 14);
    add("stopped", Phase.SENDING, 0, 15);

    assertThat(rule.connectionsToClose(usages)).containsExactly("stopped");
  }

  @Test
  void shouldCloseTheCostliestWhenTooManyAreStalled() {
    add("small", Phase.SENDING, 10, 4);
    add("large", Phase.READING, 300, 4);
    add("longest", Phase.SENDING, 10, 9);
    add("moving", Phase.SENDING, 500, 2);

    assertThat(rule.connectionsToClose(usages)).containsExactly("large");
  }

  @Test
  void shouldCloseStalledConnectionsUntilTheBytesFitWhenTooManyAreHeld() {
    add("first", Phase.SENDING, 700, 5);
    add("second", Phase.SENDING, 300, 5);
    add("served", Phase.SERVED, 600, 0);

    assertThat(rule.connectionsToClose(usages)).containsExactly("first");
  }

  @Test
  void shouldKeepAllWhenTooManyBytesAreHeldByClientsThatMakeProgress() {
    add("first", Phase.SENDING, 700, 1);
    add("second", Phase.READING, 700, 2);

    assertThat(rule.connectionsToClose(usages)).isEmpty();
  }

  @Test
  void shouldReplaceTheCostliestStalledConnectionWhenAllAreTaken() {
    add("served", Phase.SERVED, 900, 30);
    add("stalled", Phase.SENDING, 10, 4);
    add("costly", Phase.READING, 900, 4);

    assertThat(rule.connectionToReplace(usages)).contains("costly");
  }

  /** Guards against clients that connect, send nothing and keep all others out. */
  @Test
  void shouldReplaceTheLongestUnusedConnectionWhenAllAreTaken() {
    add("served", Phase.SERVED, 900, 30);
    add("idle", Phase.IDLE, 0, 30);
    add("unused", Phase.UNUSED, 0, 2);
    add("longest", Phase.UNUSED, 0, 20);

    assertThat(rule.connectionToReplace(usages)).contains("longest");
    assertThat(rule.connectionsToClose(usages)).isEmpty();
  }

  @Test
  void shouldKeepUnusedConnectionWhenItIsNew() {
    add("unused", Phase.UNUSED, 0, 0);

    assertThat(rule.connectionToReplace(usages)).isEmpty();
  }

  /** Guards against heads that stop half-way and keep their connections. */
  @Test
  void shouldCloseHeadsThatMakeNoProgressWhenTooManyAreStalled() {
    add("first", Phase.HEAD, 100, 4);
    add("second", Phase.HEAD, 90, 4);
    add("third", Phase.HEAD, 80, 4);

    assertThat(rule.connectionsToClose(usages)).containsExactly("first");
  }

  /** Any mix of connections: what remains is within the limits, or its clients make progress. */
  @RepeatedTest(20)
  void shouldLeaveNoExcessAndNoOrdinaryClientClosed(RepetitionInfo repetition) {
    Random random = new Random(repetition.getCurrentRepetition());
    for (int index = 0; index < 50; index++) {
      Phase phase = PHASES.get(random.nextInt(PHASES.size()));
      add("c" + index, phase, random.nextInt(100), random.nextInt(20));
    }

    var closed = rule.connectionsToClose(usages);

    assertThat(closed).allMatch(name -> usages.get(name).isStalledFor(LIMITS.stallTime()));
    usages.keySet().removeAll(closed);
    long stalled =
        usages.values().stream().filter(each -> each.isStalledFor(LIMITS.stallTime())).count();
    assertThat(stalled).isLessThanOrEqualTo(LIMITS.stalledConnections());
    assertThat(rule.connectionsToClose(usages)).isEmpty();
  }
}
