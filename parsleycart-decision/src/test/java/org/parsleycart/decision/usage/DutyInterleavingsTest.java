package org.parsleycart.decision.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Explores breadth-first how daemons that take part in the duty can interleave, with the decision
 * classes themselves and a model of the store and of the platform. Guards against reports of one
 * window with different counts, against two holders with one token, against tokens that decrease,
 * and against two turns of one daemon around the turn of another.
 *
 * <p>A daemon that is not scheduled while time passes is paused, also between its check of the
 * lease and its call. Calls may fail, may lose their answers, and may take effect later.
 */
class DutyInterleavingsTest {

  @ParameterizedTest
  @CsvSource({"2, 3, 1", "2, 4, 0", "3, 2, 0"})
  void shouldKeepTheRulesInAllInterleavings(int daemons, int ticks, int faults) {
    Exploration exploration = new Exploration(DutyModel.Fault.NONE, ticks, faults);

    Optional<String> violation = exploration.run(DutyModel.initial(daemons));

    assertThat(violation).isEmpty();
    assertThat(exploration.acceptedReports()).isEqualTo(2);
    assertThat(exploration.highestToken()).isGreaterThan(1);
  }

  @ParameterizedTest
  @CsvSource({
    "POST_BEFORE_STORE, different counts",
    "IGNORE_EXPIRY, lower token",
    "LEASE_FROM_ANSWER, lower token",
    "DELETE_BEFORE_MARK, different counts"
  })
  void shouldFindTheViolationWhenAFaultIsInjected(DutyModel.Fault fault, String expected) {
    Optional<String> violation = new Exploration(fault, 3, 1).run(DutyModel.initial(2));

    assertThat(violation).hasValueSatisfying(found -> assertThat(found).contains(expected));
  }

  /** Guards against an exploration that sees no violation because it reaches no second holder. */
  @Test
  void shouldReachTheReportOfASuccessor() {
    Exploration exploration = new Exploration(DutyModel.Fault.NONE, 3, 0);

    exploration.run(DutyModel.initial(2));

    assertThat(exploration.hasSuccessorReported()).isTrue();
  }

  private record Visit(DutyModel.Step step, Optional<Visit> before) {
    private List<String> path() {
      List<String> steps = new ArrayList<>();
      for (Optional<Visit> each = Optional.of(this); each.isPresent(); each = each.get().before()) {
        steps.add(0, each.get().step().toString());
      }
      return steps;
    }
  }

  /** Visits all states once, the ones with fewer steps first. */
  private static final class Exploration {
    private final DutyModel.Fault fault;
    private final int ticks;
    private final int faults;
    private int acceptedReports;
    private long highestToken;
    private boolean hasSuccessorReported;

    private Exploration(DutyModel.Fault fault, int ticks, int faults) {
      this.fault = fault;
      this.ticks = ticks;
      this.faults = faults;
    }

    private Optional<String> run(DutyModel.State initial) {
      DutyModel model = new DutyModel(fault, ticks, faults);
      Set<DutyModel.State> visited = new HashSet<>(Set.of(initial));
      ArrayDeque<Visit> open =
          new ArrayDeque<>(
              List.of(new Visit(new DutyModel.Step("start", -1, "", initial), Optional.empty())));
      while (!open.isEmpty()) {
        Visit visit = open.poll();
        record(visit.step().state());
        for (DutyModel.Step step : model.successors(visit.step().state())) {
          if (visited.add(step.state())) {
            Visit next = new Visit(step, Optional.of(visit));
            if (step.state().violation().isPresent()) {
              return Optional.of(step.state().violation().get() + " after " + next.path());
            }
            open.add(next);
          }
        }
      }
      return Optional.empty();
    }

    private void record(DutyModel.State state) {
      acceptedReports = Math.max(acceptedReports, state.platform().reports().size());
      highestToken = Math.max(highestToken, state.platform().highestToken());
      hasSuccessorReported |= state.platform().highestToken() > 1;
    }

    private int acceptedReports() {
      return acceptedReports;
    }

    private long highestToken() {
      return highestToken;
    }

    private boolean hasSuccessorReported() {
      return hasSuccessorReported;
    }
  }
}
