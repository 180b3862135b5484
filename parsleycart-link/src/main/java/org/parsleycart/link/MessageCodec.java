package org.parsleycart.link;

import static java.util.Objects.requireNonNull;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.parsleycart.decision.message.ControlMessage;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.MappingReader;
import org.parsleycart.model.document.Problem;

/** Converts control messages to documents and back. */
final class MessageCodec {
  private static final String TYPE = "type";

  private MessageCodec() {}

  // -- writing

  static Document toDocument(ControlMessage message) {
    requireNonNull(message, "message is null");
    MessageType type = MessageType.of(message);
    Document.MappingBuilder builder = Document.mapping().with(TYPE, type.wireName());
    type.write(message, builder);
    return builder.build();
  }

  // -- reading

  static Either<LinkError, ControlMessage> from(Document document) {
    List<Problem> problems = new ArrayList<>();
    MappingReader reader = MappingReader.of(document, problems);
    String label = reader.requiredText(TYPE);
    Optional<MessageType> type =
        Arrays.stream(MessageType.values())
            .filter(each -> each.wireName().equals(label))
            .findFirst();
    if (type.isEmpty()) {
      return Either.left(new LinkError.Rejected("unknown message type \"" + label + "\""));
    }
    ControlMessage message = type.get().read(reader, problems);
    return problems.isEmpty()
        ? Either.right(message)
        : Either.left(new LinkError.Rejected(problems.get(0).toString()));
  }
}
