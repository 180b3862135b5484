package review;

import java.nio.file.Path;

/** Runs one case and turns an unexpected error into the exit code of a case that could not run. */
final class Case {
  private Case() {}

  /** A case: it ends by {@link Stage#exit}. */
  interface Script {
    void run(Stage stage) throws Exception;
  }

  /**
   * Runs a case.
   *
   * @param arguments the name of the case and the folder for its record
   */
  public static void main(String[] arguments) throws Exception {
    Stage stage = new Stage(Path.of(arguments[1]));
    try {
      script(arguments[0]).run(stage);
    } catch (Exception e) {
      stage.log("the case could not run: " + e);
    }
    stage.exit(Stage.EXIT_NOT_RUN);
  }

  private static Script script(String name) {
    return switch (name) {
      case "endless-head" -> new EndlessHead();
      case "queue-leak" -> new QueueLeak();
      case "late-heartbeat" -> new LateHeartbeat();
      case "broken-off" -> new BrokenOff();
      case "connection-leak" -> new ConnectionLeak();
      case "silent-store" -> new SilentStore();
      case "replaced-order" -> new ReplacedOrder();
      case "smuggling" -> new Smuggling();
      default -> throw new IllegalArgumentException(name);
    };
  }
}
