package org.parsleycart.daemon.call;

import static java.util.Objects.requireNonNull;

import java.time.Instant;
import java.util.Optional;
import org.parsleycart.decision.admission.AdmissionControl;
import org.parsleycart.decision.admission.LoadReport;
import org.parsleycart.decision.admission.PaceTracker;
import org.parsleycart.decision.admission.SlotUsage;
import org.parsleycart.decision.membership.AnnouncedUpstream;
import org.parsleycart.decision.membership.UpstreamHeartbeat;

/**
 * An upstream beside this daemon.
 *
 * @param announced its announcement to the other daemons
 * @param address the address at which it accepts requests, as {@code host:port}
 * @param renewBy when its announcement expires unless it is renewed
 * @param heartbeat its last heartbeat, empty if it sends none
 * @param admission controls the admission of calls to it
 * @param pace tracks how long its calls take
 * @param slots sums up who uses its slots
 */
record LocalUpstream(
    AnnouncedUpstream announced,
    String address,
    Instant renewBy,
    Optional<UpstreamHeartbeat> heartbeat,
    AdmissionControl<LocalCall> admission,
    PaceTracker pace,
    SlotUsage slots) {

  LocalUpstream {
    requireNonNull(announced, "announced is null");
    requireNonNull(address, "address is null");
    requireNonNull(renewBy, "renewBy is null");
    requireNonNull(heartbeat, "heartbeat is null");
    requireNonNull(admission, "admission is null");
    requireNonNull(pace, "pace is null");
    requireNonNull(slots, "slots is null");
  }

  /** Returns the load to report to entry daemons. */
  LoadReport load() {
    return admission.load().withPace(pace.current());
  }

  /**
   * Returns this upstream updated from a later heartbeat of its process. A draining upstream stays
   * draining.
   */
  LocalUpstream withHeartbeat(UpstreamHeartbeat later, Instant newRenewBy) {
    boolean isDraining = announced.draining() || later.upstream().draining();
    LocalUpstream updated =
        new LocalUpstream(
            later.upstream(),
            later.address(),
            newRenewBy,
            Optional.of(later),
            admission,
            pace,
            slots);
    return isDraining ? updated.toDraining() : updated;
  }

  LocalUpstream withRenewBy(Instant newRenewBy) {
    return new LocalUpstream(announced, address, newRenewBy, heartbeat, admission, pace, slots);
  }

  /**
   * Returns whether an announcement renews this upstream instead of replacing it. A renewal does
   * not end draining.
   */
  boolean isRenewedBy(AnnouncedUpstream other, String otherAddress) {
    return announced.service().equals(other.service())
        && announced.version().equals(other.version())
        && announced.slots() == other.slots()
        && address.equals(otherAddress);
  }

  /** Returns this upstream marked as draining: it accepts no new calls. */
  LocalUpstream toDraining() {
    AnnouncedUpstream drainingUpstream =
        new AnnouncedUpstream(
            announced.identifier(),
            announced.service(),
            announced.version(),
            announced.slots(),
            true);
    return new LocalUpstream(drainingUpstream, address, renewBy, heartbeat, admission, pace, slots);
  }
}
