package org.parsleycart.daemon;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.parsleycart.daemon.settings.DaemonSettings;
import org.parsleycart.link.Threads;
import org.tinylog.Logger;

/**
 * Reloads the settings file when it has changed or on request.
 *
 * <p>A file with errors is ignored. Settings that cannot change while the daemon runs keep their
 * values.
 */
final class SettingsWatcher {
  /**
   * The interval between two checks for a change: a third of the time in which a configuration must
   * take effect.
   */
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(700);

  private final Path file;
  private final Consumer<DaemonSettings> target;
  private final Semaphore requests = new Semaphore(0);
  private String currentText;

  // -- construction

  /**
   * Creates a watcher; {@link #start} starts its thread.
   *
   * @param text the content of the file when the daemon started
   * @param target receives changed settings
   */
  SettingsWatcher(Path file, String text, Consumer<DaemonSettings> target) {
    this.file = requireNonNull(file, "file is null");
    this.currentText = requireNonNull(text, "text is null");
    this.target = requireNonNull(target, "target is null");
  }

  // -- operations

  void start() {
    Threads.newDaemonThread("settings", this::run).start();
  }

  /** Requests that the file is read now. */
  void requestReload() {
    requests.release();
  }

  private void run() {
    try {
      while (true) {
        boolean requested = requests.tryAcquire(CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        requests.drainPermits();
        reload(requested);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Reads the file and passes changed settings to the target.
   *
   * @param requested whether the reload was requested; an unchanged or unreadable file is logged
   *     only then
   */
  void reload(boolean requested) {
    try {
      String text = Files.readString(file);
      if (text.equals(currentText)) {
        if (requested) {
          Logger.info("settings reloaded: the file has not changed");
        }
        return;
      }
      currentText = text;
      DaemonSettings.parse(file.toString(), text)
          .peek(
              settings -> {
                target.accept(settings);
                Logger.info("settings reloaded: the file has changed");
              })
          .peekLeft(
              problems ->
                  Logger.warn(
                      "settings file has errors, keeping the current settings: {}", problems));
    } catch (IOException e) {
      if (requested) {
        Logger.warn(
            "settings file {} cannot be read, keeping the current settings: {}",
            file,
            e.getMessage());
      }
    }
  }
}
