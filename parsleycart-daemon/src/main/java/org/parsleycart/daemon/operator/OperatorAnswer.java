package org.parsleycart.daemon.operator;

import static java.util.Objects.requireNonNull;

import io.undertow.util.StatusCodes;
import java.util.List;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.JsonDocuments;
import org.parsleycart.store.AcceptanceError;

/**
 * The answer to an operator or an upstream.
 *
 * @param status the HTTP status code
 * @param contentType the type of the body
 * @param body the body
 */
record OperatorAnswer(int status, String contentType, String body) {
  private static final String JSON = "application/json";
  private static final String TEXT = "text/plain; charset=utf-8";

  OperatorAnswer {
    requireNonNull(contentType, "contentType is null");
    requireNonNull(body, "body is null");
  }

  // -- construction

  static OperatorAnswer ok(Document document) {
    return new OperatorAnswer(StatusCodes.OK, JSON, JsonDocuments.format(document));
  }

  static OperatorAnswer text(int status, String body) {
    return new OperatorAnswer(status, TEXT, body);
  }

  static OperatorAnswer error(int status, String message, List<String> details) {
    Document.Mapping document =
        Document.mapping().with("error", message).with("details", Document.texts(details)).build();
    return new OperatorAnswer(status, JSON, JsonDocuments.format(document));
  }

  static OperatorAnswer error(AcceptanceError error) {
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
