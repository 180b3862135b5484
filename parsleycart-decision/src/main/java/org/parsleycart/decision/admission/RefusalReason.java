package org.parsleycart.decision.admission;

import java.time.Duration;
import java.util.Optional;
import java.util.stream.Stream;

/** Why a call was refused before any of it reached an upstream. */
public enum RefusalReason {
  NO_ROUTE("no-route", 404),
  NO_UPSTREAM("no-upstream", 503),
  /** The daemon beside the upstream does not have the configuration of the entry daemon yet. */
  OUTDATED_CONFIGURATION("behind", 503, true),
  /** The daemon is about to stop and could not follow the call to its answer. */
  STOPPING("stopping", 503),
  UPSTREAM_GONE("upstream-gone", 503, true),
  DRAINING("draining", 503, true),
  ZONE_WITHDRAWN("zone-withdrawn", 503, true),
  ISOLATED("isolated", 503),
  /** The daemon is short of processor time and would answer too late. */
  OVERLOADED("overloaded", 503),
  /** Clients hold all the memory that the daemon has for them. */
  MEMORY_FULL("memory-full", 503),
  QUEUE_FULL("queue-full", 503),
  COLD("cold", 503, true),
  /** More calls arrive than the upstream has stated to take in a second. */
  RATE_LIMITED("rate-limited", 503, true, Duration.ofMillis(100)),
  REFUSED_BY_UPSTREAM("refused-by-upstream", 503),
  DEADLINE("deadline", 503),
  /** The upstream is overloaded and its answer would miss the latency objective. */
  LATE("late", 503),
  NOT_READY("not-ready", 503),
  UNREACHABLE("unreachable", 503),
  BAD_REQUEST("bad-request", 400),
  TOO_LARGE("too-large", 413),
  HEADERS_TOO_LARGE("headers-too-large", 431),
  /** Upstreams have ended when they ran the request. */
  QUARANTINED("quarantined", 503) {
    @Override
    public boolean mayRedirect() {
      return false;
    }
  },
  /** The route needs a key of an organisation, and the request has no known one. */
  UNAUTHENTICATED("unauthenticated", 401),
  /** The configuration may be older than the revocation of the key in the request. */
  UNCONFIRMED_CONFIGURATION("unconfirmed-configuration", 503);

  private static final int SERVICE_UNAVAILABLE = 503;

  private final String label;
  private final int statusCode;
  private final boolean requiresOtherUpstream;
  private final Duration avoidanceTime;

  RefusalReason(String label, int statusCode) {
    this(label, statusCode, false);
  }

  RefusalReason(String label, int statusCode, boolean requiresOtherUpstream) {
    this(
        label,
        statusCode,
        requiresOtherUpstream,
        requiresOtherUpstream ? Duration.ofSeconds(1) : Duration.ZERO);
  }

  RefusalReason(
      String label, int statusCode, boolean requiresOtherUpstream, Duration avoidanceTime) {
    this.label = label;
    this.statusCode = statusCode;
    this.requiresOtherUpstream = requiresOtherUpstream;
    this.avoidanceTime = avoidanceTime;
  }

  /** Returns the HTTP status code of the answer to the caller. */
  public int statusCode() {
    return statusCode;
  }

  /**
   * Returns whether the upstream accepts no calls at present, whatever its load, so that the call
   * must be sent to another upstream.
   */
  public boolean requiresOtherUpstream() {
    return requiresOtherUpstream;
  }

  /** Returns whether another daemon may accept the call. */
  public boolean mayRedirect() {
    return true;
  }

  /** Returns how long an entry prefers other upstreams to the one that refused. */
  public Duration avoidanceTime() {
    return avoidanceTime;
  }

  /** Returns whether the same request may succeed a little later. */
  public boolean isTemporary() {
    return statusCode == SERVICE_UNAVAILABLE;
  }

  /** Returns the reason with the given label, or empty if the label is unknown or null. */
  public static Optional<RefusalReason> ofLabel(String label) {
    return Stream.of(values()).filter(reason -> reason.label.equals(label)).findFirst();
  }

  @Override
  public String toString() {
    return label;
  }
}
