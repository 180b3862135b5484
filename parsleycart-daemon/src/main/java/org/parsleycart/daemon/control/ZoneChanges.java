package org.parsleycart.daemon.control;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.parsleycart.model.Configuration;
import org.parsleycart.model.ConfigurationChange;
import org.parsleycart.model.ResourceKind;
import org.parsleycart.model.ResourceReference;
import org.parsleycart.model.Selector;
import org.parsleycart.model.Withdrawal;

/** Creates the configuration changes that withdraw or return a single zone. */
public final class ZoneChanges {
  private ZoneChanges() {}

  /**
   * Returns the change that withdraws or returns a zone.
   *
   * @param withdraw true to withdraw the zone, false to return it
   * @param identifier the identifier of the change
   * @param author the name recorded as the author of the change
   * @return the change, or empty if the zone is to be returned but has no withdrawal of its own
   */
  public static Optional<ConfigurationChange> change(
      Configuration configuration,
      String zone,
      boolean withdraw,
      String identifier,
      String author) {
    requireNonNull(configuration, "configuration is null");
    ResourceReference reference = withdrawalReference(zone);
    if (withdraw) {
      Withdrawal withdrawal = new Withdrawal(reference.name(), Selector.of(Map.of("name", zone)));
      return Optional.of(
          new ConfigurationChange(identifier, author, List.of(withdrawal), List.of()));
    }
    return configuration
        .resource(reference)
        .map(
            withdrawal ->
                new ConfigurationChange(identifier, author, List.of(), List.of(reference)));
  }

  private static ResourceReference withdrawalReference(String zone) {
    return new ResourceReference(ResourceKind.WITHDRAWAL, "zone-" + zone);
  }
}
