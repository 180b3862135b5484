package org.parsleycart.daemon.call;

import org.parsleycart.daemon.report.CallLog;
import org.parsleycart.decision.admission.SlotUsage;
import org.parsleycart.model.document.Document;

/** Writes who used the slots of an upstream, for each second in which calls competed for them. */
final class SlotUsageLog {
  private SlotUsageLog() {}

  /** Writes a line about a window, unless all its calls found a slot at once. */
  static void write(CallLog log, LocalUpstream upstream, SlotUsage.Window window) {
    if (!window.isContended()) {
      return;
    }
    Document.MappingBuilder routes = Document.mapping();
    window.usageByRoute().forEach((route, usage) -> routes.with(route, fieldsOf(usage)));
    log.write(
        "slots-used",
        "",
        Document.mapping()
            .with("upstream", upstream.announced().identifier())
            .with("service", upstream.announced().service())
            .with("milliseconds", window.length().toMillis())
            .with("load", upstream.admission().load().toString())
            .with("routes", routes.build()));
  }

  private static Document fieldsOf(SlotUsage.RouteUsage usage) {
    return Document.mapping()
        .with("ended", usage.ended())
        .with("busyMilliseconds", usage.busy().toMillis())
        .with("waitedMilliseconds", usage.waited().toMillis())
        .with("refused", usage.refused())
        .build();
  }
}
