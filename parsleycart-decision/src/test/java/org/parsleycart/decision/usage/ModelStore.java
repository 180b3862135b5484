package org.parsleycart.decision.usage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.parsleycart.decision.usage.DutyOperation.InsertReport;
import org.parsleycart.decision.usage.DutyOperation.WriteLease;

/** The rows of the duty in the model of the store, and writes that may still take effect. */
record ModelStore(
    Optional<LeaseRecord> lease,
    long revision,
    Map<Long, String> reports,
    List<LateWrite> lateWrites) {

  /** A write that was not answered and may take effect at any time. */
  record LateWrite(DutyOperation operation, String content) {}

  static ModelStore empty() {
    return new ModelStore(Optional.empty(), 0, Map.of(), List.of());
  }

  ModelStore writeLease(WriteLease write) {
    return revision == write.revision()
        ? new ModelStore(Optional.of(write.content()), revision + 1, reports, lateWrites)
        : this;
  }

  ModelStore insertReport(long window, String content) {
    Map<Long, String> changed = new HashMap<>(reports);
    changed.putIfAbsent(window, content);
    return new ModelStore(lease, revision, Map.copyOf(changed), lateWrites);
  }

  ModelStore without(long window) {
    Map<Long, String> changed = new HashMap<>(reports);
    changed.remove(window);
    return new ModelStore(lease, revision, Map.copyOf(changed), lateWrites);
  }

  ModelStore withLate(DutyOperation operation, String content) {
    List<LateWrite> late = new ArrayList<>(lateWrites);
    late.add(new LateWrite(operation, content));
    return new ModelStore(lease, revision, reports, List.copyOf(late));
  }

  ModelStore applyLate(int index) {
    LateWrite late = lateWrites.get(index);
    List<LateWrite> rest = new ArrayList<>(lateWrites);
    rest.remove(index);
    ModelStore without = new ModelStore(lease, revision, reports, List.copyOf(rest));
    return late.operation() instanceof WriteLease write
        ? without.writeLease(write)
        : without.insertReport(((InsertReport) late.operation()).window(), late.content());
  }
}
