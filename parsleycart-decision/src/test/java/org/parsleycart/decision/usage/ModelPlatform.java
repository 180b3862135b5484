package org.parsleycart.decision.usage;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.parsleycart.decision.usage.DutyOperation.PostReport;

/**
 * What the platform has seen in the model.
 *
 * @param acts the tick of the last call of each daemon
 * @param lastActor the daemon that called last, -1 if none did
 */
record ModelPlatform(
    Map<Long, String> reports,
    long highestToken,
    Map<Long, Integer> tokenOwners,
    Map<Integer, Integer> acts,
    int lastActor) {

  static ModelPlatform empty() {
    return new ModelPlatform(Map.of(), 0, Map.of(), Map.of(), -1);
  }

  /** Applies a call; one that is exempt does not count as a turn of its sender. */
  ModelPlatform receive(int daemon, int tick, boolean isExempt, PostReport post) {
    Map<Long, String> newReports = new HashMap<>(reports);
    newReports.putIfAbsent(post.window(), post.content());
    Map<Long, Integer> newOwners = new HashMap<>(tokenOwners);
    newOwners.putIfAbsent(post.token(), daemon);
    Map<Integer, Integer> newActs = new HashMap<>(acts);
    if (!isExempt) {
      newActs.put(daemon, tick);
    }
    return new ModelPlatform(
        Map.copyOf(newReports),
        Math.max(highestToken, post.token()),
        Map.copyOf(newOwners),
        Map.copyOf(newActs),
        isExempt ? lastActor : daemon);
  }

  /** Returns the rule that a call violates. */
  Optional<String> violation(int daemon, int tick, boolean isExempt, PostReport post) {
    if (!reports.getOrDefault(post.window(), post.content()).equals(post.content())) {
      return Optional.of("different counts for window " + post.window());
    }
    if (tokenOwners.getOrDefault(post.token(), daemon) != daemon) {
      return Optional.of("two holders with token " + post.token());
    }
    if (isExempt) {
      return Optional.empty();
    }
    if (post.token() < highestToken) {
      return Optional.of("lower token " + post.token());
    }
    boolean isReturn = lastActor != daemon && acts.containsKey(daemon);
    return isReturn && tick - acts.get(daemon) <= DutyModel.LEASE_TICKS
        ? Optional.of("turns of " + daemon + " around another")
        : Optional.empty();
  }
}
