package org.parsleycart.decision.message;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import org.parsleycart.decision.membership.MemberRecord;
import org.parsleycart.decision.usage.DaemonUsage;

/**
 * A message between two daemons.
 *
 * <p>{@link Probe}, {@link Acknowledgement}, {@link IndirectProbe} and {@link Announcement} are
 * sent as datagrams and may be lost, duplicated or reordered. The others are requests and responses
 * on a connection.
 */
public sealed interface ControlMessage {

  /**
   * Requests an acknowledgement for {@code origin}, which is the sender unless the probe is
   * relayed.
   */
  record Probe(Gossip gossip, long number, String origin) implements ControlMessage {
    public Probe {
      requireNonNull(gossip, "gossip is null");
      requireNonNull(origin, "origin is null");
    }
  }

  /** Confirms that {@code subject} answered the probe with the given number. */
  record Acknowledgement(Gossip gossip, long number, String subject) implements ControlMessage {
    public Acknowledgement {
      requireNonNull(gossip, "gossip is null");
      requireNonNull(subject, "subject is null");
    }
  }

  /** Requests that the receiver probes {@code target} on behalf of the sender. */
  record IndirectProbe(Gossip gossip, long number, String target) implements ControlMessage {
    public IndirectProbe {
      requireNonNull(gossip, "gossip is null");
      requireNonNull(target, "target is null");
    }
  }

  /** Carries gossip and requires no response. */
  record Announcement(Gossip gossip) implements ControlMessage {
    public Announcement {
      requireNonNull(gossip, "gossip is null");
    }
  }

  /**
   * Requests the changes after a version. A negative version requests the complete snapshot.
   *
   * @param acceptsCompressed whether the sender can read a compressed answer
   */
  record ConfigurationRequest(String source, long afterVersion, boolean acceptsCompressed)
      implements ControlMessage {
    public ConfigurationRequest {
      requireNonNull(source, "source is null");
    }

    /** Requests an answer that is not compressed. */
    public ConfigurationRequest(String source, long afterVersion) {
      this(source, afterVersion, false);
    }
  }

  /** Carries changes in version order, or a complete snapshot in MessagePack form. */
  record ConfigurationAnswer(
      ConfigurationHead head, List<VersionedChange> changes, Optional<EncodedSnapshot> snapshot)
      implements ControlMessage {
    public ConfigurationAnswer {
      requireNonNull(head, "head is null");
      changes = List.copyOf(changes);
      requireNonNull(snapshot, "snapshot is null");
    }
  }

  /** Requests the member records of the buckets whose digests differ from the given ones. */
  record MembershipRequest(MemberRecord self, List<Long> bucketDigests) implements ControlMessage {
    public MembershipRequest {
      requireNonNull(self, "self is null");
      bucketDigests = List.copyOf(bucketDigests);
    }
  }

  /**
   * Carries the member records of the buckets that differ, and all urgent facts and evidence on
   * requests.
   */
  record MembershipAnswer(
      ConfigurationHead head,
      List<MemberRecord> records,
      List<UrgentFact> urgentFacts,
      List<RequestEvidence> requestEvidence)
      implements ControlMessage {
    public MembershipAnswer {
      requireNonNull(head, "head is null");
      records = List.copyOf(records);
      urgentFacts = List.copyOf(urgentFacts);
      requestEvidence = List.copyOf(requestEvidence);
    }

    /** Creates an answer without evidence on requests. */
    public MembershipAnswer(
        ConfigurationHead head, List<MemberRecord> records, List<UrgentFact> urgentFacts) {
      this(head, records, urgentFacts, List.of());
    }
  }

  /** Asks whether a version is in force at the receiver and at the given members. */
  record InForceRequest(long version, List<String> members, long timeoutMilliseconds)
      implements ControlMessage {
    public InForceRequest {
      members = List.copyOf(members);
    }
  }

  /**
   * Counts the members at which a version is in force, those that lag behind and those that did not
   * respond, and lists some of the last two groups as examples.
   */
  record InForceAnswer(long inForce, long lagging, long unresponsive, List<String> examples)
      implements ControlMessage {
    public InForceAnswer {
      examples = List.copyOf(examples);
    }
  }

  /** Requests the call counts of a service for the evaluation of its rollout. */
  record EvidenceRequest(String service) implements ControlMessage {
    public EvidenceRequest {
      requireNonNull(service, "service is null");
    }
  }

  /** Carries the call counts by version and route, and the loads of the upstreams. */
  record EvidenceAnswer(List<CallCounts> counts, List<VersionLoad> loads)
      implements ControlMessage {
    public EvidenceAnswer {
      counts = List.copyOf(counts);
      loads = List.copyOf(loads);
    }
  }

  /** Requests the counts of the usage duty for some windows. */
  record UsageRequest(List<Long> windows) implements ControlMessage {
    public UsageRequest {
      windows = List.copyOf(windows);
    }
  }

  /**
   * Carries the counts of the receiver, and its wall clock in milliseconds. A requested window
   * without counts had no requests.
   */
  record UsageAnswer(DaemonUsage usage, long wallMilliseconds) implements ControlMessage {
    public UsageAnswer {
      requireNonNull(usage, "usage is null");
    }
  }

  /** Reports that a request could not be answered. */
  record Failure(String reason) implements ControlMessage {
    public Failure {
      requireNonNull(reason, "reason is null");
    }
  }
}
