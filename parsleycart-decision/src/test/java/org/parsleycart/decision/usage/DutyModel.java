package org.parsleycart.decision.usage;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.parsleycart.decision.usage.DutyOperation.InsertReport;
import org.parsleycart.decision.usage.DutyOperation.PostReport;
import org.parsleycart.decision.usage.DutyOperation.ReadLease;
import org.parsleycart.decision.usage.DutyOperation.ReadReport;
import org.parsleycart.decision.usage.DutyOperation.WriteLease;

/**
 * A small world of daemons that take part in the duty, a store and the platform. Time may pass
 * between any two calls of a daemon. A bounded number of faults also lets time pass between the
 * decision on a call and its effect, or between its effect and its answer, loses a call or its
 * answer, delays a write, or makes a holder resign.
 */
final class DutyModel {
  private static final int TICK_MILLISECONDS = 1500;
  static final int LEASE_TICKS = 2;
  private static final int NO_DAEMON = -1;
  private static final String NO_ANSWER = "no answer";

  /** Bounds the exploration to two windows. */
  private static final long LAST_REPORTED_END = 2L * TICK_MILLISECONDS;

  private static final long LONG_AGO = -1_000_000;
  private static final UsageSchedule SCHEDULE =
      new UsageSchedule(
          new UsageWindows(Duration.ofMillis(TICK_MILLISECONDS)),
          Duration.ZERO,
          Duration.ZERO,
          Duration.ofSeconds(10),
          Duration.ofMinutes(5),
          Duration.ZERO,
          Duration.ZERO);

  private final Fault fault;
  private final int ticks;
  private final int faults;

  /** A defect of the daemons that the exploration has to find. */
  enum Fault {
    NONE,
    POST_BEFORE_STORE,
    IGNORE_EXPIRY,
    LEASE_FROM_ANSWER,
    DELETE_BEFORE_MARK
  }

  /** Where a call that a daemon has decided on stands. */
  record Call(DutyOperation operation, int decidedAt, Optional<Object> answer) {}

  record Daemon(DutyHolder duty, Optional<Call> call) {}

  record State(
      int tick,
      List<Daemon> daemons,
      ModelStore store,
      ModelPlatform platform,
      int usedFaults,
      Optional<String> violation) {}

  record Step(String label, int daemon, Object subject, State state) {
    @Override
    public String toString() {
      return label + (daemon < 0 ? " " : " daemon-" + daemon + " ") + subject;
    }
  }

  DutyModel(Fault fault, int ticks, int faults) {
    this.fault = fault;
    this.ticks = ticks;
    this.faults = faults;
  }

  static State initial(int daemons) {
    List<Daemon> all =
        IntStream.range(0, daemons)
            .mapToObj(
                index ->
                    new DutyHolder(
                        LeaseState.initial(
                            "daemon-" + index,
                            "p" + index,
                            Duration.ofMillis(LEASE_TICKS * TICK_MILLISECONDS),
                            new ClockReading(LONG_AGO, LONG_AGO, LONG_AGO)),
                        UsageReportPlan.after(SCHEDULE, -1)))
            .map(duty -> new Daemon(duty, Optional.empty()))
            .toList();
    return new State(0, all, ModelStore.empty(), ModelPlatform.empty(), 0, Optional.empty());
  }

  // -- steps

  List<Step> successors(State state) {
    List<Step> steps = new ArrayList<>();
    if (state.tick() < ticks) {
      steps.add(
          new Step(
              "tick",
              NO_DAEMON,
              state.tick() + 1,
              new State(
                  state.tick() + 1,
                  state.daemons(),
                  state.store(),
                  state.platform(),
                  state.usedFaults(),
                  state.violation())));
    }
    for (int index = 0; index < state.daemons().size(); index++) {
      steps.addAll(stepsOf(state, index));
    }
    IntStream.range(0, state.store().lateWrites().size())
        .forEach(index -> steps.add(applyLateWrite(state, index)));
    steps.addAll(deletions(state));
    return steps;
  }

  private List<Step> stepsOf(State state, int index) {
    Daemon daemon = state.daemons().get(index);
    if (daemon.call().isPresent()) {
      Call call = daemon.call().get();
      return List.of(
          call.answer().isEmpty()
              ? receive(effect(state, index, call, false), index, "reaches late")
              : receive(state, index, "receives late"));
    }
    Stream<Step> calls =
        decide(state, daemon).stream()
            .flatMap(
                operation ->
                    calls(state, index, new Call(operation, state.tick(), Optional.empty())));
    return Stream.concat(calls, resignation(state, index).stream()).toList();
  }

  /** A call that is made and answered at once, or encounters one of the faults. */
  private Stream<Step> calls(State state, int index, Call call) {
    State answered = effect(state, index, call, false);
    Stream<Step> whole = Stream.of(receive(answered, index, "calls"));
    if (state.usedFaults() >= faults) {
      return whole;
    }
    Daemon decided = new Daemon(state.daemons().get(index).duty(), Optional.of(call));
    State unanswered = answer(state, index, call, NO_ANSWER);
    boolean isWrite =
        call.operation() instanceof WriteLease || call.operation() instanceof InsertReport;
    return Stream.concat(
        whole,
        Stream.of(
            new Step(
                "is paused before",
                index,
                call.operation(),
                withFault(with(state, index, decided))),
            new Step("is paused after", index, call.operation(), withFault(answered)),
            receive(withFault(effect(state, index, call, true)), index, "loses the answer to"),
            receive(
                withFault(isWrite ? withLateWrite(unanswered, index, call) : unanswered),
                index,
                "fails in")));
  }

  private Optional<DutyOperation> decide(State state, Daemon daemon) {
    ClockReading now = clocks(state.tick());
    DutyHolder duty = daemon.duty();
    ClockReading believed =
        fault == Fault.IGNORE_EXPIRY
            ? duty.lease().held().map(LeaseState.HeldLease::since).orElse(now)
            : now;
    return duty.nextForLease(now)
        .or(
            () ->
                duty.nextForReports(
                    believed, Instant.ofEpochMilli(Math.min(now.wall(), LAST_REPORTED_END)), true));
  }

  /** A holder may give the lease back at any time; that write takes effect at once. */
  private Optional<Step> resignation(State state, int index) {
    DutyHolder duty = state.daemons().get(index).duty();
    ClockReading now = clocks(state.tick());
    if (!duty.lease().isHeld(now) || state.usedFaults() >= faults) {
      return Optional.empty();
    }
    DutyHolder resigned =
        duty.resigned(now)
            .observedLease(state.store().lease(), state.store().revision(), now)
            .resigned(now);
    ModelStore released =
        resigned
            .lease()
            .release(duty.plan().reportedThrough())
            .map(write -> state.store().writeLease(write))
            .orElse(state.store());
    State after = with(state, index, new Daemon(resigned, Optional.empty()));
    return Optional.of(new Step("resigns", index, "", withFault(with(after, released))));
  }

  private State effect(State state, int index, Call call, boolean isLost) {
    String content = content(state, index);
    DutyOperation operation = call.operation();
    ModelStore store = state.store();
    State after = state;
    Object result;
    if (operation instanceof ReadLease) {
      result = store;
    } else if (operation instanceof ReadReport read) {
      result = Optional.ofNullable(store.reports().get(read.window()));
    } else if (operation instanceof WriteLease write) {
      result = store.revision() == write.revision();
      after = with(state, store.writeLease(write));
    } else if (operation instanceof InsertReport insert && fault == Fault.POST_BEFORE_STORE) {
      long token = state.daemons().get(index).duty().lease().token();
      after = post(state, index, new PostReport(insert.window(), token, content), call);
      result = content;
    } else if (operation instanceof InsertReport insert) {
      result = store.reports().containsKey(insert.window()) ? "" : content;
      after = with(state, store.insertReport(insert.window(), content));
    } else {
      after = post(state, index, (PostReport) operation, call);
      result = PostResult.ACCEPTED;
    }
    return answer(after, index, call, isLost ? NO_ANSWER : result);
  }

  private Step receive(State state, int index, String label) {
    Daemon daemon = state.daemons().get(index);
    Call call = daemon.call().orElseThrow();
    ClockReading now = clocks(state.tick());
    DutyHolder duty = apply(daemon.duty(), call, call.answer().orElseThrow(), now);
    return new Step(
        label, index, call.operation(), with(state, index, new Daemon(duty, Optional.empty())));
  }

  private DutyHolder apply(DutyHolder duty, Call call, Object result, ClockReading now) {
    boolean isLost = result.equals(NO_ANSWER);
    DutyOperation operation = call.operation();
    if (operation instanceof ReadLease && !isLost) {
      ModelStore seen = (ModelStore) result;
      return duty.observedLease(seen.lease(), seen.revision(), now);
    }
    if (operation instanceof WriteLease write && !isLost) {
      ClockReading sentAt = fault == Fault.LEASE_FROM_ANSWER ? now : clocks(call.decidedAt());
      return duty.wroteLease(write, (Boolean) result, sentAt, now);
    }
    if (operation instanceof ReadLease || operation instanceof WriteLease) {
      return duty.leaseFailed(now);
    }
    if (operation instanceof PostReport) {
      return duty.postedReport(isLost ? PostResult.FAILED : (PostResult) result, now, 0);
    }
    if (isLost) {
      return duty.reportFailed(now, 0);
    }
    if (operation instanceof ReadReport) {
      return duty.readReport(((Optional<?>) result).map(Object::toString));
    }
    return duty.insertedReport((String) result, !((String) result).isEmpty());
  }

  // -- store

  /** Each daemon gathers other counts, and after a fault it may gather other ones again. */
  private static String content(State state, int index) {
    return "content of " + index + " after " + state.usedFaults();
  }

  private static State withLateWrite(State state, int index, Call call) {
    return with(state, state.store().withLate(call.operation(), content(state, index)));
  }

  private static Step applyLateWrite(State state, int index) {
    State after = with(state, state.store().applyLate(index));
    return new Step("late", NO_DAEMON, state.store().lateWrites().get(index), after);
  }

  /** Rows up to the mark in the lease row may be deleted at any time. */
  private List<Step> deletions(State state) {
    ModelStore store = state.store();
    long mark = store.lease().map(LeaseRecord::reportedThrough).orElse(-1L);
    return store.reports().keySet().stream()
        .filter(
            window ->
                window <= mark
                    || (fault == Fault.DELETE_BEFORE_MARK
                        && state.platform().reports().containsKey(window)))
        .map(
            window ->
                new Step("delete", NO_DAEMON, window, with(state, state.store().without(window))))
        .toList();
  }

  // -- platform

  private static State post(State state, int index, PostReport post, Call call) {
    // A call decided on before a pause arrives just after its sender resumed.
    boolean isExempt = call.decidedAt() < state.tick();
    return new State(
        state.tick(),
        state.daemons(),
        state.store(),
        state.platform().receive(index, state.tick(), isExempt, post),
        state.usedFaults(),
        state.platform().violation(index, state.tick(), isExempt, post));
  }

  // -- state

  private static ClockReading clocks(int tick) {
    long now = (long) tick * TICK_MILLISECONDS;
    return new ClockReading(now, now, now);
  }

  private static State answer(State state, int index, Call call, Object result) {
    Daemon daemon = state.daemons().get(index);
    return with(
        state,
        index,
        new Daemon(
            daemon.duty(),
            Optional.of(new Call(call.operation(), call.decidedAt(), Optional.of(result)))));
  }

  private static State with(State state, int index, Daemon daemon) {
    List<Daemon> daemons = new ArrayList<>(state.daemons());
    daemons.set(index, daemon);
    return new State(
        state.tick(),
        List.copyOf(daemons),
        state.store(),
        state.platform(),
        state.usedFaults(),
        state.violation());
  }

  private static State with(State state, ModelStore store) {
    return new State(
        state.tick(),
        state.daemons(),
        store,
        state.platform(),
        state.usedFaults(),
        state.violation());
  }

  private static State withFault(State state) {
    return new State(
        state.tick(),
        state.daemons(),
        state.store(),
        state.platform(),
        state.usedFaults() + 1,
        state.violation());
  }
}
