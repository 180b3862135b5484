package org.parsleycart.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.parsleycart.daemon.settings.DaemonSettings;

class SettingsWatcherTest {
  private static final String SETTINGS =
      """
      zone: abdali
      upstreamService: %s
      addresses: {callers: "127.0.0.1:1", daemons: "127.0.0.1:2", control: "127.0.0.1:3",
                  operators: "127.0.0.1:4"}
      platform: embedded
      peerKeys: [test-key-0123456789]
      """;

  @TempDir private Path folder;
  private Path file;
  private final List<DaemonSettings> appliedSettings = new ArrayList<>();
  private SettingsWatcher watcher;

  @BeforeEach
  void start() throws IOException {
    file = folder.resolve("settings.yaml");
    Files.writeString(file, SETTINGS.formatted("one"));
    watcher = new SettingsWatcher(file, SETTINGS.formatted("one"), appliedSettings::add);
  }

  @Test
  void shouldApplyAChangeOnceWhenNoReloadWasRequested() throws IOException {
    Files.writeString(file, SETTINGS.formatted("two"));

    watcher.reload(false);
    watcher.reload(false);

    assertThat(appliedSettings).hasSize(1);
    assertThat(appliedSettings.get(0).upstreamService()).contains("two");
  }

  @Test
  void shouldApplyNothingWhenTheFileIsUnchanged() {
    watcher.reload(true);

    assertThat(appliedSettings).isEmpty();
  }

  @Test
  void shouldKeepTheSettingsWhenTheFileHasErrorsOrIsDeleted() throws IOException {
    Files.writeString(file, "zone: [");
    watcher.reload(false);
    Files.delete(file);
    watcher.reload(true);

    assertThat(appliedSettings).isEmpty();
  }
}
