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
  private final List<DaemonSettings> taken = new ArrayList<>();
  private SettingsWatcher watch;

  @BeforeEach
  void start() throws IOException {
    file = folder.resolve("settings.yaml");
    Files.writeString(file, SETTINGS.formatted("one"));
    watch = new SettingsWatcher(file, SETTINGS.formatted("one"), taken::add);
  }

  @Test
  void shouldTakeAChangeWithoutBeingAsked() throws IOException {
    Files.writeString(file, SETTINGS.formatted("two"));

    watch.reload(false);
    watch.reload(false);

    assertThat(taken).hasSize(1);
    assertThat(taken.get(0).upstreamService()).contains("two");
  }

  @Test
  void shouldTakeNothingWhenNothingChanged() {
    watch.reload(true);

    assertThat(taken).isEmpty();
  }

  @Test
  void shouldKeepItsSettingsWhenTheFileHasFaultsOrIsGone() throws IOException {
    Files.writeString(file, "zone: [");
    watch.reload(false);
    Files.delete(file);
    watch.reload(true);

    assertThat(taken).isEmpty();
  }
}
