package org.parsleycart.link;

import java.util.List;
import java.util.stream.IntStream;
import org.parsleycart.decision.message.CallCounts;
import org.parsleycart.decision.message.ControlMessage.EvidenceAnswer;
import org.parsleycart.decision.message.VersionLoad;
import org.parsleycart.decision.rollout.LatencyBuckets;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.MappingReader;
import org.parsleycart.model.document.Problem;

/** Writes and reads the measurements on which rollout decisions are based. */
final class EvidenceCodec {
  private EvidenceCodec() {}

  // -- writing

  static void write(EvidenceAnswer answer, Document.MappingBuilder builder) {
    List<Document.Mapping> counts =
        answer.counts().stream().map(EvidenceCodec::countsDocument).toList();
    List<Document.Mapping> loads =
        answer.loads().stream().map(EvidenceCodec::loadDocument).toList();
    builder.with("counts", Document.sequence(counts)).with("loads", Document.sequence(loads));
  }

  private static Document.Mapping countsDocument(CallCounts counts) {
    List<Document.Scalar> latencies = counts.latencies().stream().map(Document::scalar).toList();
    return Document.mapping()
        .with("version", counts.version())
        .with("route", counts.route())
        .with("answered", counts.answered())
        .with("failed", counts.failed())
        .with("latencies", Document.sequence(latencies))
        .build();
  }

  private static Document.Mapping loadDocument(VersionLoad load) {
    return Document.mapping()
        .with("version", load.version())
        .with("busy", load.outstandingCalls())
        .with("limit", load.limit())
        .build();
  }

  // -- reading

  static EvidenceAnswer read(MappingReader reader, List<Problem> problems) {
    return new EvidenceAnswer(
        reader.items("counts", item -> countsFrom(MappingReader.of(item, problems))),
        reader.items("loads", item -> loadFrom(MappingReader.of(item, problems))));
  }

  private static CallCounts countsFrom(MappingReader reader) {
    return new CallCounts(
        reader.requiredText("version"),
        reader.requiredText("route"),
        reader.requiredNumber("answered", 0, Long.MAX_VALUE),
        reader.requiredNumber("failed", 0, Long.MAX_VALUE),
        latenciesFrom(reader));
  }

  private static List<Long> latenciesFrom(MappingReader reader) {
    List<String> texts = reader.textItems("latencies");
    return IntStream.range(0, LatencyBuckets.COUNT)
        .mapToObj(bucket -> bucket < texts.size() ? texts.get(bucket) : "0")
        .map(text -> text.matches("[0-9]{1,18}") ? Long.valueOf(text) : Long.valueOf(0))
        .toList();
  }

  private static VersionLoad loadFrom(MappingReader reader) {
    return new VersionLoad(
        reader.requiredText("version"),
        (int) reader.requiredNumber("busy", 0, Integer.MAX_VALUE),
        (int) reader.requiredNumber("limit", 0, Integer.MAX_VALUE));
  }
}
