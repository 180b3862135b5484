package org.parsleycart.model;

/** The progress of a rollout; a phase that is not active never changes again. */
public enum RolloutPhase {
  /** An operator has asked for it, and no judge has started it. */
  PENDING("ordered", true) {
    @Override
    int share(int current) {
      return 0;
    }
  },
  /** The share grows. */
  PROGRESSING("progressing", true) {
    @Override
    int share(int current) {
      return current;
    }
  },
  /** The new version takes all traffic and the old one is kept ready. */
  SOAKING("soaking", true) {
    @Override
    int share(int current) {
      return Rollout.FULL_SHARE_PER_MILLE;
    }
  },
  /** The new version is in charge. */
  COMPLETED("done", false) {
    @Override
    int share(int current) {
      return Rollout.FULL_SHARE_PER_MILLE;
    }
  },
  /** The new version was condemned by its evidence. */
  ROLLED_BACK("taken-back", false) {
    @Override
    int share(int current) {
      return 0;
    }
  },
  /** An operator ended the rollout. */
  ABORTED("aborted", false) {
    @Override
    int share(int current) {
      return 0;
    }
  };

  private final String label;
  private final boolean active;

  RolloutPhase(String label, boolean active) {
    this.label = label;
    this.active = active;
  }

  /** Returns whether the rollout still decides where traffic goes. */
  public boolean isActive() {
    return active;
  }

  /** Returns whether the version takes no calls but those that its share gives it. */
  public boolean isVersionHeldBack() {
    return this != COMPLETED;
  }

  abstract int share(int current);

  @Override
  public String toString() {
    return label;
  }
}
