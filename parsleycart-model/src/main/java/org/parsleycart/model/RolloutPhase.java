package org.parsleycart.model;

/** The phase of a rollout. A phase that is not active is final. */
public enum RolloutPhase {
  /** An operator has requested the rollout, and no daemon has started it yet. */
  PENDING("ordered", true) {
    @Override
    int sharePerMille(int currentPerMille) {
      return 0;
    }
  },
  /** The share of the new version is growing. */
  PROGRESSING("progressing", true) {
    @Override
    int sharePerMille(int currentPerMille) {
      return currentPerMille;
    }
  },
  /** The new version receives all traffic; the old version is kept ready for a rollback. */
  SOAKING("soaking", true) {
    @Override
    int sharePerMille(int currentPerMille) {
      return Rollout.FULL_SHARE_PER_MILLE;
    }
  },
  /** The rollout has completed, and the new version is the current version. */
  COMPLETED("done", false) {
    @Override
    int sharePerMille(int currentPerMille) {
      return Rollout.FULL_SHARE_PER_MILLE;
    }
  },
  /** The new version was rolled back because its measurements were unacceptable. */
  ROLLED_BACK("taken-back", false) {
    @Override
    int sharePerMille(int currentPerMille) {
      return 0;
    }
  },
  /** An operator aborted the rollout. */
  ABORTED("aborted", false) {
    @Override
    int sharePerMille(int currentPerMille) {
      return 0;
    }
  };

  private final String label;
  private final boolean active;

  RolloutPhase(String label, boolean active) {
    this.label = label;
    this.active = active;
  }

  /** Returns whether the rollout still determines the split of traffic. */
  public boolean isActive() {
    return active;
  }

  /** Returns whether the new version receives only the calls assigned by its share. */
  public boolean isVersionHeldBack() {
    return this != COMPLETED;
  }

  /** Returns the share that a rollout has after entering this phase, in thousandths. */
  abstract int sharePerMille(int currentPerMille);

  @Override
  public String toString() {
    return label;
  }
}
