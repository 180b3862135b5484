package org.parsleycart.daemon;

import java.time.InstantSource;
import java.util.Set;
import org.parsleycart.daemon.settings.DaemonSettings;
import org.parsleycart.daemon.settings.DialectName;
import org.parsleycart.decision.spreading.ConfigurationLog;
import org.parsleycart.link.http.HttpClient;
import org.parsleycart.platform.OperatorConfiguration;
import org.parsleycart.platform.PlatformStore;
import org.parsleycart.platform.StoreClock;
import org.parsleycart.store.ConfigurationAuthority;
import org.parsleycart.store.ConfigurationStore;
import org.parsleycart.store.Platform;

/**
 * The components of a daemon that access the platform.
 *
 * @param services the table and the object store
 * @param authority reads and accepts versions of the configuration
 * @param clock the clock shared by all daemons, or the local clock if the platform provides none
 */
record PlatformComponents(
    Platform services, ConfigurationAuthority authority, InstantSource clock) {

  // -- construction

  static PlatformComponents create(
      DaemonSettings settings, ConfigurationLog log, InstantSource clock) {
    if (settings.platform().isEmpty()) {
      return withConfigurationStore(Platform.inMemory(), log, clock);
    }
    HttpClient client = HttpClient.start(1);
    String address = settings.platform().get();
    StoreClock storeClock = new StoreClock(clock);
    PlatformStore store =
        new PlatformStore(client, address, settings.platformTimeout(), storeClock);
    if (settings.dialect() == DialectName.PARSLEYCART) {
      return withConfigurationStore(store.toPlatform(), log, clock);
    }
    ConfigurationAuthority authority =
        new OperatorConfiguration(store, log, Set.copyOf(settings.zones()), clock);
    return new PlatformComponents(store.toPlatform(), authority, storeClock);
  }

  private static PlatformComponents withConfigurationStore(
      Platform services, ConfigurationLog log, InstantSource clock) {
    return new PlatformComponents(services, new ConfigurationStore(services, log, clock), clock);
  }
}
