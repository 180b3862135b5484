package org.parsleycart.daemon.operator;

import static java.util.Objects.requireNonNull;

import io.undertow.util.StatusCodes;
import java.util.List;
import org.parsleycart.decision.admission.RefusalReason;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.JsonDocuments;
import org.parsleycart.store.AcceptanceError;

/**
 * The HTTP response to an operator or to a local upstream.
 *
 * @param contentType the media type of the body
 */
record OperatorResponse(int status, String contentType, String body) {
  private static final String JSON = "application/json";
  private static final String TEXT = "text/plain; charset=utf-8";

  OperatorResponse {
    requireNonNull(contentType, "contentType is null");
    requireNonNull(body, "body is null");
  }

  // -- construction

  static OperatorResponse ok(Document document) {
    return new OperatorResponse(StatusCodes.OK, JSON, JsonDocuments.format(document));
  }

  static OperatorResponse text(int status, String body) {
    return new OperatorResponse(status, TEXT, body);
  }

  static OperatorResponse error(int status, String message, List<String> details) {
    Document.Mapping document =
        Document.mapping().with("error", message).with("details", Document.texts(details)).build();
    return new OperatorResponse(status, JSON, JsonDocuments.format(document));
  }

  /** Returns the answer that the request asked about would be refused for the given reason. */
  static OperatorResponse refused(RefusalReason reason, String message) {
    Document.Mapping document =
        Document.mapping()
            .with("error", message)
            .with("reason", reason.toString())
            .with("details", Document.texts(List.of()))
            .build();
    return new OperatorResponse(reason.statusCode(), JSON, JsonDocuments.format(document));
  }

  static OperatorResponse error(AcceptanceError error) {
    if (error instanceof AcceptanceError.Invalid invalid) {
      List<String> details = invalid.violations().stream().map(Object::toString).toList();
      return error(StatusCodes.UNPROCESSABLE_ENTITY, error.message(), details);
    }
    if (error instanceof AcceptanceError.Conflict) {
      return error(StatusCodes.CONFLICT, error.message(), List.of());
    }
    int status =
        error instanceof AcceptanceError.Unknown
            ? StatusCodes.GATEWAY_TIME_OUT
            : StatusCodes.SERVICE_UNAVAILABLE;
    return error(status, error.message(), List.of());
  }
}
