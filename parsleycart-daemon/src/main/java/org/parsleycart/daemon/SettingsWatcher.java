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
 * Reads the settings file again when it has changed or when it is asked to. Settings with a fault
 * change nothing. What cannot change while the daemon runs is left as it is.
 */
final class SettingsWatcher {
  /** How soon a change without a signal is noticed; a third of the time for a configuration. */
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(700);

  private final Path file;
  private final Consumer<DaemonSettings> target;
  private final Semaphore requests = new Semaphore(0);
  private String currentText;

  // -- construction

  /**
   * Creates a watch.
   *
   * @param file the settings file
   * @param text what was read from it at the start
   * @param target takes changed settings
   */
  SettingsWatcher(Path file, String text, Consumer<DaemonSettings> target) {
    this.file = requireNonNull(file, "file is null");
    this.currentText = requireNonNull(text, "text is null");
    this.target = requireNonNull(target, "target is null");
  }

  // -- operations

  /** Starts the thread of this watch. */
  void start() {
    Threads.newDaemonThread("settings", this::run).start();
  }

  /** Asks to read the file now. */
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

  /** Reads the file and hands on what has changed; tells why when that was asked for. */
  void reload(boolean requested) {
    try {
      String text = Files.readString(file);
      if (text.equals(currentText)) {
        if (requested) {
          Logger.info("settings read again: unchanged");
        }
        return;
      }
      currentText = text;
      DaemonSettings.parse(file.toString(), text)
          .peek(
              settings -> {
                target.accept(settings);
                Logger.info("settings read again: changed");
              })
          .peekLeft(problems -> Logger.warn("settings kept, the file has faults: {}", problems));
    } catch (IOException e) {
      if (requested) {
        Logger.warn("settings kept, {} cannot be read: {}", file, e.getMessage());
      }
    }
  }
}
