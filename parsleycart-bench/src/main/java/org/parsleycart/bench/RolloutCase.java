package org.parsleycart.bench;

/** How the new version behaves. */
enum RolloutCase {
  GOOD(false) {
    @Override
    Behaviour behaviour(boolean isNew, String route, double part, int sharePerMille) {
      return Behaviour.USUAL;
    }
  },
  GOOD_WHILE_ALL_OVERLOADED(false) {
    @Override
    Behaviour behaviour(boolean isNew, String route, double part, int sharePerMille) {
      return part > 0.45 && part < 0.6 ? new Behaviour(0.2, 3) : Behaviour.USUAL;
    }
  },
  FAILS_AT_ONCE(true) {
    @Override
    Behaviour behaviour(boolean isNew, String route, double part, int sharePerMille) {
      return isNew ? new Behaviour(0.2, 1) : Behaviour.USUAL;
    }
  },
  FAILS_A_LITTLE(true) {
    @Override
    Behaviour behaviour(boolean isNew, String route, double part, int sharePerMille) {
      return isNew ? new Behaviour(0.04, 1) : Behaviour.USUAL;
    }
  },
  SLOWS_AT_ONCE(true) {
    @Override
    Behaviour behaviour(boolean isNew, String route, double part, int sharePerMille) {
      return isNew ? new Behaviour(0, 5) : Behaviour.USUAL;
    }
  },
  FAILS_LATER(true) {
    @Override
    Behaviour behaviour(boolean isNew, String route, double part, int sharePerMille) {
      return isNew && part > 0.6 ? new Behaviour(0.2, 1) : Behaviour.USUAL;
    }
  },
  FAILS_UNDER_LOAD(true) {
    @Override
    Behaviour behaviour(boolean isNew, String route, double part, int sharePerMille) {
      return isNew && sharePerMille >= 250 ? new Behaviour(0.2, 4) : Behaviour.USUAL;
    }
  },
  FAILS_ON_ONE_ROUTE(true) {
    @Override
    Behaviour behaviour(boolean isNew, String route, double part, int sharePerMille) {
      return isNew && route.equals("orders") ? new Behaviour(0.2, 1) : Behaviour.USUAL;
    }
  };

  private final boolean bad;

  RolloutCase(boolean bad) {
    this.bad = bad;
  }

  /** What a call meets beyond the usual. */
  record Behaviour(double failureRate, double slowness) {
    static final Behaviour USUAL = new Behaviour(0, 1);

    boolean isFaulty() {
      return failureRate > 0 || slowness > 1;
    }
  }

  boolean isBad() {
    return bad;
  }

  abstract Behaviour behaviour(boolean isNew, String route, double part, int sharePerMille);
}
