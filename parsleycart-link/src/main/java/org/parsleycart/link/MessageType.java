package org.parsleycart.link;

import java.util.Arrays;
import java.util.List;
import org.parsleycart.decision.membership.MemberRecord;
import org.parsleycart.decision.message.ControlMessage;
import org.parsleycart.decision.message.ControlMessage.Acknowledgement;
import org.parsleycart.decision.message.ControlMessage.Announcement;
import org.parsleycart.decision.message.ControlMessage.ConfigurationAnswer;
import org.parsleycart.decision.message.ControlMessage.ConfigurationRequest;
import org.parsleycart.decision.message.ControlMessage.EvidenceAnswer;
import org.parsleycart.decision.message.ControlMessage.EvidenceRequest;
import org.parsleycart.decision.message.ControlMessage.Failure;
import org.parsleycart.decision.message.ControlMessage.InForceAnswer;
import org.parsleycart.decision.message.ControlMessage.InForceRequest;
import org.parsleycart.decision.message.ControlMessage.IndirectProbe;
import org.parsleycart.decision.message.ControlMessage.MembershipAnswer;
import org.parsleycart.decision.message.ControlMessage.MembershipRequest;
import org.parsleycart.decision.message.ControlMessage.Probe;
import org.parsleycart.decision.message.ControlMessage.UsageAnswer;
import org.parsleycart.decision.message.ControlMessage.UsageRequest;
import org.parsleycart.decision.message.EncodedSnapshot;
import org.parsleycart.decision.usage.DaemonUsage;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.MappingReader;
import org.parsleycart.model.document.Problem;

/** The types of control messages; each writes and reads the entries of its messages. */
enum MessageType {
  PROBE("probe", Probe.class) {
    @Override
    void write(ControlMessage message, Document.MappingBuilder builder) {
      Probe probe = (Probe) message;
      GossipCodec.write(probe.gossip(), builder);
      builder.with("number", probe.number()).with("origin", probe.origin());
    }

    @Override
    ControlMessage read(MappingReader reader, List<Problem> problems) {
      return new Probe(
          GossipCodec.read(reader, problems),
          reader.requiredNumber("number", 0, Long.MAX_VALUE),
          reader.requiredText("origin"));
    }
  },
  ACKNOWLEDGEMENT("acknowledgement", Acknowledgement.class) {
    @Override
    void write(ControlMessage message, Document.MappingBuilder builder) {
      Acknowledgement acknowledgement = (Acknowledgement) message;
      GossipCodec.write(acknowledgement.gossip(), builder);
      builder.with("number", acknowledgement.number()).with("subject", acknowledgement.subject());
    }

    @Override
    ControlMessage read(MappingReader reader, List<Problem> problems) {
      return new Acknowledgement(
          GossipCodec.read(reader, problems),
          reader.requiredNumber("number", 0, Long.MAX_VALUE),
          reader.requiredText("subject"));
    }
  },
  INDIRECT_PROBE("indirect-probe", IndirectProbe.class) {
    @Override
    void write(ControlMessage message, Document.MappingBuilder builder) {
      IndirectProbe indirect = (IndirectProbe) message;
      GossipCodec.write(indirect.gossip(), builder);
      builder.with("number", indirect.number()).with("target", indirect.target());
    }

    @Override
    ControlMessage read(MappingReader reader, List<Problem> problems) {
      return new IndirectProbe(
          GossipCodec.read(reader, problems),
          reader.requiredNumber("number", 0, Long.MAX_VALUE),
          reader.requiredText("target"));
    }
  },
  ANNOUNCEMENT("announcement", Announcement.class) {
    @Override
    void write(ControlMessage message, Document.MappingBuilder builder) {
      GossipCodec.write(((Announcement) message).gossip(), builder);
    }

    @Override
    ControlMessage read(MappingReader reader, List<Problem> problems) {
      return new Announcement(GossipCodec.read(reader, problems));
    }
  },
  CONFIGURATION_REQUEST("configuration-request", ConfigurationRequest.class) {
    @Override
    void write(ControlMessage message, Document.MappingBuilder builder) {
      ConfigurationRequest request = (ConfigurationRequest) message;
      builder.with("source", request.source()).with("after", request.afterVersion());
      if (request.acceptsCompressed()) {
        builder.with("compressed", true);
      }
    }

    @Override
    ControlMessage read(MappingReader reader, List<Problem> problems) {
      return new ConfigurationRequest(
          reader.requiredText("source"),
          reader.requiredNumber("after", Long.MIN_VALUE, Long.MAX_VALUE),
          reader.flag("compressed").orElse(false));
    }
  },
  CONFIGURATION_ANSWER("configuration-answer", ConfigurationAnswer.class) {
    @Override
    void write(ControlMessage message, Document.MappingBuilder builder) {
      ConfigurationAnswer answer = (ConfigurationAnswer) message;
      GossipCodec.writeHead(answer.head(), builder);
      builder.with(
          "changes",
          Document.sequence(answer.changes().stream().map(ChangeCodec::toDocument).toList()));
      answer.snapshot().ifPresent(snapshot -> builder.with("snapshot", snapshot.base64()));
    }

    @Override
    ControlMessage read(MappingReader reader, List<Problem> problems) {
      return new ConfigurationAnswer(
          GossipCodec.readHead(reader),
          reader.items("changes", item -> ChangeCodec.from(item, problems)),
          reader.text("snapshot").map(EncodedSnapshot::new));
    }
  },
  MEMBERSHIP_REQUEST("membership-request", MembershipRequest.class) {
    @Override
    void write(ControlMessage message, Document.MappingBuilder builder) {
      MembershipRequest request = (MembershipRequest) message;
      builder
          .with("self", request.self().toDocument())
          .with(
              "buckets",
              Document.sequence(request.bucketDigests().stream().map(Document::scalar).toList()));
    }

    @Override
    ControlMessage read(MappingReader reader, List<Problem> problems) {
      Document self = reader.document("self").orElseGet(() -> Document.mapping().build());
      List<Long> digests =
          reader.textItems("buckets").stream()
              .map(text -> text.matches("-?[0-9]{1,19}") ? Long.parseLong(text) : 0L)
              .toList();
      return new MembershipRequest(MemberRecord.from(self, problems), digests);
    }
  },
  MEMBERSHIP_ANSWER("membership-answer", MembershipAnswer.class) {
    @Override
    void write(ControlMessage message, Document.MappingBuilder builder) {
      MembershipAnswer answer = (MembershipAnswer) message;
      GossipCodec.writeHead(answer.head(), builder);
      GossipCodec.writeRecords(answer.records(), builder);
      GossipCodec.writeUrgent(answer.urgentFacts(), builder);
      RequestEvidenceCodec.write(answer.requestEvidence(), builder);
    }

    @Override
    ControlMessage read(MappingReader reader, List<Problem> problems) {
      return new MembershipAnswer(
          GossipCodec.readHead(reader),
          GossipCodec.readRecords(reader, problems),
          GossipCodec.readUrgent(reader, problems),
          RequestEvidenceCodec.read(reader, problems));
    }
  },
  IN_FORCE_REQUEST("in-force-request", InForceRequest.class) {
    @Override
    void write(ControlMessage message, Document.MappingBuilder builder) {
      InForceRequest request = (InForceRequest) message;
      builder
          .with("version", request.version())
          .with("members", Document.texts(request.members()))
          .with("timeout", request.timeoutMilliseconds());
    }

    @Override
    ControlMessage read(MappingReader reader, List<Problem> problems) {
      return new InForceRequest(
          reader.requiredNumber("version", 0, Long.MAX_VALUE),
          reader.textItems("members"),
          reader.requiredNumber("timeout", 0, Integer.MAX_VALUE));
    }
  },
  IN_FORCE_ANSWER("in-force-answer", InForceAnswer.class) {
    @Override
    void write(ControlMessage message, Document.MappingBuilder builder) {
      InForceAnswer answer = (InForceAnswer) message;
      builder
          .with("inForce", answer.inForce())
          .with("lagging", answer.lagging())
          .with("silent", answer.unresponsive())
          .with("named", Document.texts(answer.examples()));
    }

    @Override
    ControlMessage read(MappingReader reader, List<Problem> problems) {
      return new InForceAnswer(
          reader.requiredNumber("inForce", 0, Integer.MAX_VALUE),
          reader.requiredNumber("lagging", 0, Integer.MAX_VALUE),
          reader.requiredNumber("silent", 0, Integer.MAX_VALUE),
          reader.textItems("named"));
    }
  },
  EVIDENCE_REQUEST("evidence-request", EvidenceRequest.class) {
    @Override
    void write(ControlMessage message, Document.MappingBuilder builder) {
      builder.with("service", ((EvidenceRequest) message).service());
    }

    @Override
    ControlMessage read(MappingReader reader, List<Problem> problems) {
      return new EvidenceRequest(reader.requiredText("service"));
    }
  },
  EVIDENCE_ANSWER("evidence-answer", EvidenceAnswer.class) {
    @Override
    void write(ControlMessage message, Document.MappingBuilder builder) {
      EvidenceCodec.write((EvidenceAnswer) message, builder);
    }

    @Override
    ControlMessage read(MappingReader reader, List<Problem> problems) {
      return EvidenceCodec.read(reader, problems);
    }
  },
  USAGE_REQUEST("usage-request", UsageRequest.class) {
    @Override
    void write(ControlMessage message, Document.MappingBuilder builder) {
      UsageRequest request = (UsageRequest) message;
      builder.with(
          "windows", Document.sequence(request.windows().stream().map(Document::scalar).toList()));
    }

    @Override
    ControlMessage read(MappingReader reader, List<Problem> problems) {
      return new UsageRequest(
          reader.textItems("windows").stream()
              .filter(text -> text.matches("-?[0-9]{1,18}"))
              .map(Long::valueOf)
              .toList());
    }
  },
  USAGE_ANSWER("usage-answer", UsageAnswer.class) {
    @Override
    void write(ControlMessage message, Document.MappingBuilder builder) {
      UsageAnswer answer = (UsageAnswer) message;
      answer.usage().write(builder);
      builder.with("wall", answer.wallMilliseconds());
    }

    @Override
    ControlMessage read(MappingReader reader, List<Problem> problems) {
      return new UsageAnswer(
          DaemonUsage.read(reader), reader.requiredNumber("wall", 0, Long.MAX_VALUE));
    }
  },
  FAILURE("failure", Failure.class) {
    @Override
    void write(ControlMessage message, Document.MappingBuilder builder) {
      builder.with("reason", ((Failure) message).reason());
    }

    @Override
    ControlMessage read(MappingReader reader, List<Problem> problems) {
      return new Failure(reader.requiredText("reason"));
    }
  };

  private final String wireName;
  private final Class<? extends ControlMessage> messageClass;

  MessageType(String wireName, Class<? extends ControlMessage> messageClass) {
    this.wireName = wireName;
    this.messageClass = messageClass;
  }

  // -- queries

  static MessageType of(ControlMessage message) {
    return Arrays.stream(values())
        .filter(each -> each.messageClass.isInstance(message))
        .findFirst()
        .orElseThrow(
            () -> new IllegalArgumentException("no message type for " + message.getClass()));
  }

  String wireName() {
    return wireName;
  }

  // -- conversion

  abstract void write(ControlMessage message, Document.MappingBuilder builder);

  abstract ControlMessage read(MappingReader reader, List<Problem> problems);
}
