package org.parsleycart.link;

import java.time.Duration;
import java.util.List;
import org.parsleycart.decision.membership.MemberRecord;
import org.parsleycart.decision.membership.StatusUpdate;
import org.parsleycart.decision.message.ConfigurationHead;
import org.parsleycart.decision.message.Gossip;
import org.parsleycart.decision.message.UrgentFact;
import org.parsleycart.model.Recency;
import org.parsleycart.model.ResourceKind;
import org.parsleycart.model.ResourceReference;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.MappingReader;
import org.parsleycart.model.document.Problem;

/** Writes and reads the entries that several message types share. */
final class GossipCodec {
  private static final String RECORDS = "records";
  private static final String STATUSES = "statuses";
  private static final String URGENT = "urgent";
  private static final String GENERATION = "generation";
  private static final String CONFIRMATION_AGE = "confirmedMillisecondsAgo";
  private static final long MAXIMUM_AGE_MILLISECONDS = Duration.ofDays(36500).toMillis();
  private static final List<String> FACT_KEYS =
      List.of("kind", "name", "epoch", "counter", "restrictive", "reason");

  private GossipCodec() {}

  // -- gossip

  static void write(Gossip gossip, Document.MappingBuilder builder) {
    builder.with("source", gossip.source());
    writeHead(gossip.head(), builder);
    gossip.confirmationAge().ifPresent(age -> builder.with(CONFIRMATION_AGE, age.toMillis()));
    writeRecords(gossip.records(), builder);
    if (!gossip.statuses().isEmpty()) {
      builder.with(
          STATUSES,
          Document.sequence(gossip.statuses().stream().map(StatusUpdate::toDocument).toList()));
    }
    writeUrgent(gossip.urgentFacts(), builder);
    RequestEvidenceCodec.write(gossip.requestEvidence(), builder);
  }

  static Gossip read(MappingReader reader, List<Problem> problems) {
    return new Gossip(
        reader.requiredText("source"),
        readHead(reader),
        reader.number(CONFIRMATION_AGE, 0, MAXIMUM_AGE_MILLISECONDS).map(Duration::ofMillis),
        readRecords(reader, problems),
        reader.items(STATUSES, item -> StatusUpdate.from(item, problems)),
        readUrgent(reader, problems),
        RequestEvidenceCodec.read(reader, problems));
  }

  // -- head

  static void writeHead(ConfigurationHead head, Document.MappingBuilder builder) {
    builder.with("head", head.version()).with("digest", head.digest());
    if (head.recency().generation() > 0) {
      builder.with(GENERATION, head.recency().generation());
    }
  }

  static ConfigurationHead readHead(MappingReader reader) {
    Recency recency =
        new Recency(
            reader.number(GENERATION, 0, Long.MAX_VALUE).orElse(0L),
            reader.requiredNumber("head", 0, Long.MAX_VALUE));
    return new ConfigurationHead(recency, reader.requiredText("digest"));
  }

  // -- records

  static void writeRecords(List<MemberRecord> records, Document.MappingBuilder builder) {
    if (!records.isEmpty()) {
      builder.with(
          RECORDS, Document.sequence(records.stream().map(MemberRecord::toDocument).toList()));
    }
  }

  static List<MemberRecord> readRecords(MappingReader reader, List<Problem> problems) {
    return reader.items(RECORDS, item -> MemberRecord.from(item, problems));
  }

  // -- urgent facts

  static void writeUrgent(List<UrgentFact> facts, Document.MappingBuilder builder) {
    if (!facts.isEmpty()) {
      builder.with(
          URGENT, Document.sequence(facts.stream().map(GossipCodec::factDocument).toList()));
    }
  }

  static List<UrgentFact> readUrgent(MappingReader reader, List<Problem> problems) {
    return reader.items(
        URGENT, item -> readFact(MappingReader.ofItems(item, FACT_KEYS, problems), problems));
  }

  private static Document.Sequence factDocument(UrgentFact fact) {
    return Document.sequence(
        List.of(
            Document.scalar(fact.subject().kind().section()),
            Document.scalar(fact.subject().name()),
            Document.scalar(fact.epoch()),
            Document.scalar(fact.counter()),
            Document.scalar(fact.restrictive()),
            Document.scalar(fact.reason())));
  }

  private static UrgentFact readFact(MappingReader reader, List<Problem> problems) {
    String section = reader.requiredText("kind");
    ResourceKind kind =
        ResourceKind.ofSection(section)
            .orElseGet(
                () -> {
                  problems.add(
                      new Problem(
                          reader.location(), section, "the section key of a resource kind"));
                  return ResourceKind.AVAILABILITY_ZONE;
                });
    return new UrgentFact(
        new ResourceReference(kind, reader.requiredText("name")),
        reader.requiredNumber("epoch", 0, Long.MAX_VALUE),
        reader.requiredNumber("counter", 0, Long.MAX_VALUE),
        reader.flag("restrictive").orElse(true),
        reader.requiredText("reason"));
  }
}
