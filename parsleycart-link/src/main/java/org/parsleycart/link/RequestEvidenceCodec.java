package org.parsleycart.link;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.parsleycart.decision.message.RequestEvidence;
import org.parsleycart.decision.message.RequestEvidence.Event;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.MappingReader;
import org.parsleycart.model.document.Problem;

/** Writes and reads evidence on requests, each as an event, a process, an age and requests. */
final class RequestEvidenceCodec {
  private static final String EVIDENCE = "evidence";
  private static final String EVENT = "event";
  private static final String PROCESS = "process";
  private static final String AGE = "millisecondsAgo";
  private static final String REQUESTS = "requests";
  private static final int HEXADECIMAL = 16;
  private static final long MAXIMUM_AGE_MILLISECONDS = Duration.ofDays(1).toMillis();

  private RequestEvidenceCodec() {}

  static void write(List<RequestEvidence> evidence, Document.MappingBuilder builder) {
    if (!evidence.isEmpty()) {
      builder.with(
          EVIDENCE,
          Document.sequence(evidence.stream().map(RequestEvidenceCodec::toDocument).toList()));
    }
  }

  static List<RequestEvidence> read(MappingReader reader, List<Problem> problems) {
    return reader.items(EVIDENCE, item -> read(MappingReader.of(item, problems)));
  }

  private static Document.Mapping toDocument(RequestEvidence evidence) {
    return Document.mapping()
        .with(EVENT, evidence.event().toString())
        .with(PROCESS, evidence.process())
        .with(AGE, evidence.age().toMillis())
        .with(
            REQUESTS,
            Document.texts(evidence.requests().stream().sorted().map(Long::toHexString).toList()))
        .build();
  }

  private static RequestEvidence read(MappingReader reader) {
    String label = reader.requiredText(EVENT);
    Event event =
        Event.ofLabel(label)
            .orElseGet(
                () -> {
                  reader.report(EVENT, label, "the label of an event");
                  return Event.ENDED;
                });
    return new RequestEvidence(
        event,
        reader.requiredText(PROCESS),
        readRequests(reader),
        Duration.ofMillis(reader.requiredNumber(AGE, 0, MAXIMUM_AGE_MILLISECONDS)));
  }

  private static Set<Long> readRequests(MappingReader reader) {
    Set<Long> requests = new HashSet<>();
    for (String text : reader.textItems(REQUESTS)) {
      try {
        requests.add(Long.parseUnsignedLong(text, HEXADECIMAL));
      } catch (NumberFormatException e) {
        reader.report(REQUESTS, text, "a fingerprint of up to 16 hexadecimal digits");
      }
    }
    return requests;
  }
}
