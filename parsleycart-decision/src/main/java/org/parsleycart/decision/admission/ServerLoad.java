package org.parsleycart.decision.admission;

import static java.util.Objects.requireNonNull;

import java.util.OptionalInt;

/**
 * What a server states about its load in an answer.
 *
 * @param running the calls that it runs
 * @param waiting the calls that wait in it
 * @param slots the calls that it can run at once, at least 1
 * @param pace how long work takes at this moment, 100 is usual and 200 is twice as long
 */
public record ServerLoad(int running, int waiting, int slots, OptionalInt pace) {
  public ServerLoad {
    requireNonNull(pace, "pace is null");
  }
}
