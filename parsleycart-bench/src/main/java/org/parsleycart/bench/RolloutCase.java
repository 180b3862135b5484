package org.parsleycart.bench;

/** The cases of a simulated rollout: how its versions behave over time. */
enum RolloutCase {
  GOOD(false) {
    @Override
    Behaviour behaviour(boolean isNew, String route, double elapsedShare, int sharePerMille) {
      return Behaviour.USUAL;
    }
  },
  GOOD_WHILE_ALL_OVERLOADED(false) {
    @Override
    Behaviour behaviour(boolean isNew, String route, double elapsedShare, int sharePerMille) {
      return elapsedShare > 0.45 && elapsedShare < 0.6 ? new Behaviour(0.2, 3) : Behaviour.USUAL;
    }
  },
  FAILS_AT_ONCE(true) {
    @Override
    Behaviour behaviour(boolean isNew, String route, double elapsedShare, int sharePerMille) {
      return isNew ? new Behaviour(0.2, 1) : Behaviour.USUAL;
    }
  },
  FAILS_A_LITTLE(true) {
    @Override
    Behaviour behaviour(boolean isNew, String route, double elapsedShare, int sharePerMille) {
      return isNew ? new Behaviour(0.04, 1) : Behaviour.USUAL;
    }
  },
  SLOWS_AT_ONCE(true) {
    @Override
    Behaviour behaviour(boolean isNew, String route, double elapsedShare, int sharePerMille) {
      return isNew ? new Behaviour(0, 5) : Behaviour.USUAL;
    }
  },
  FAILS_LATER(true) {
    @Override
    Behaviour behaviour(boolean isNew, String route, double elapsedShare, int sharePerMille) {
      return isNew && elapsedShare > 0.6 ? new Behaviour(0.2, 1) : Behaviour.USUAL;
    }
  },
  FAILS_UNDER_LOAD(true) {
    @Override
    Behaviour behaviour(boolean isNew, String route, double elapsedShare, int sharePerMille) {
      return isNew && sharePerMille >= 250 ? new Behaviour(0.2, 4) : Behaviour.USUAL;
    }
  },
  FAILS_ON_ONE_ROUTE(true) {
    @Override
    Behaviour behaviour(boolean isNew, String route, double elapsedShare, int sharePerMille) {
      return isNew && route.equals("orders") ? new Behaviour(0.2, 1) : Behaviour.USUAL;
    }
  };

  private final boolean bad;

  RolloutCase(boolean bad) {
    this.bad = bad;
  }

  /** The failure rate on top of the usual one, and the factor on the usual latency. */
  record Behaviour(double failureRate, double latencyFactor) {
    static final Behaviour USUAL = new Behaviour(0, 1);

    boolean isFaulty() {
      return failureRate > 0 || latencyFactor > 1;
    }
  }

  boolean isBad() {
    return bad;
  }

  /**
   * Returns the behaviour for one call.
   *
   * @param isNew whether the call reaches the new version
   * @param elapsedShare the elapsed share of the time within which the rollout shall complete
   * @param sharePerMille the share of calls that the new version receives
   */
  abstract Behaviour behaviour(boolean isNew, String route, double elapsedShare, int sharePerMille);
}
