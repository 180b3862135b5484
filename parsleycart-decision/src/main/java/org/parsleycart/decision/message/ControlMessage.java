package org.parsleycart.decision.message;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import org.parsleycart.decision.membership.MemberRecord;

/**
 * A message between two daemons.
 *
 * <p>The first four travel as datagrams and may be lost, repeated or reordered; the others are
 * requests and answers on a connection.
 */
public sealed interface ControlMessage {

  /** Asks for an acknowledgement; {@code origin} is the daemon that wants it, often the sender. */
  record Probe(Gossip gossip, long number, String origin) implements ControlMessage {
    public Probe {
      requireNonNull(gossip, "gossip is null");
      requireNonNull(origin, "origin is null");
    }
  }

  /** Says that {@code subject} answered the probe with the given number. */
  record Acknowledgement(Gossip gossip, long number, String subject) implements ControlMessage {
    public Acknowledgement {
      requireNonNull(gossip, "gossip is null");
      requireNonNull(subject, "subject is null");
    }
  }

  /** Asks the receiver to probe {@code target} on behalf of the sender. */
  record IndirectProbe(Gossip gossip, long number, String target) implements ControlMessage {
    public IndirectProbe {
      requireNonNull(gossip, "gossip is null");
      requireNonNull(target, "target is null");
    }
  }

  /** Passes gossip on without asking for anything. */
  record Announcement(Gossip gossip) implements ControlMessage {
    public Announcement {
      requireNonNull(gossip, "gossip is null");
    }
  }

  /** Asks for the changes after a version; a negative version asks for the whole snapshot. */
  record ConfigurationRequest(String source, long afterVersion) implements ControlMessage {
    public ConfigurationRequest {
      requireNonNull(source, "source is null");
    }
  }

  /** Carries changes in order, or a whole snapshot in its MessagePack form. */
  record ConfigurationAnswer(
      ConfigurationHead head, List<VersionedChange> changes, Optional<EncodedSnapshot> snapshot)
      implements ControlMessage {
    public ConfigurationAnswer {
      requireNonNull(head, "head is null");
      changes = List.copyOf(changes);
      requireNonNull(snapshot, "snapshot is null");
    }
  }

  /** Asks for the member records that differ, given a digest of each bucket of records. */
  record MembershipRequest(MemberRecord self, List<Long> bucketDigests) implements ControlMessage {
    public MembershipRequest {
      requireNonNull(self, "self is null");
      bucketDigests = List.copyOf(bucketDigests);
    }
  }

  /** Carries the member records of the buckets that differ, and all urgent facts. */
  record MembershipAnswer(
      ConfigurationHead head, List<MemberRecord> records, List<UrgentFact> urgentFacts)
      implements ControlMessage {
    public MembershipAnswer {
      requireNonNull(head, "head is null");
      records = List.copyOf(records);
      urgentFacts = List.copyOf(urgentFacts);
    }
  }

  /** Asks whether a version is in force at the receiver and at the members given. */
  record InForceRequest(long version, List<String> members, long timeoutMilliseconds)
      implements ControlMessage {
    public InForceRequest {
      members = List.copyOf(members);
    }
  }

  /** Counts the members where a version is in force and names some of the others. */
  record InForceAnswer(long inForce, long lagging, long unresponsive, List<String> examples)
      implements ControlMessage {
    public InForceAnswer {
      examples = List.copyOf(examples);
    }
  }

  /** Asks for the calls seen of a service, for the judge of its rollout. */
  record EvidenceRequest(String service) implements ControlMessage {
    public EvidenceRequest {
      requireNonNull(service, "service is null");
    }
  }

  /** Carries the calls seen, by version and route, and the loads of the upstreams. */
  record EvidenceAnswer(List<CallCounts> counts, List<VersionLoad> loads)
      implements ControlMessage {
    public EvidenceAnswer {
      counts = List.copyOf(counts);
      loads = List.copyOf(loads);
    }
  }

  /** Says that a request could not be answered. */
  record Failure(String reason) implements ControlMessage {
    public Failure {
      requireNonNull(reason, "reason is null");
    }
  }
}
