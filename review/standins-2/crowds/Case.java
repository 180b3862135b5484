import java.nio.file.Path;

/** The frame of a case: its arguments, its longest duration and its exit code. */
final class Case {
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
  private static final long LONGEST_MILLISECONDS = 115_000;

  interface Body {
    /** Runs the case. Returns whether the rule held. Throws an exception if it could not run. */
    boolean holds(Mesh mesh) throws Exception;
  }

  private Case() {}

  @SuppressWarnings("try") // The end of the mesh may be interrupted.
  static void run(String[] arguments, Body body) {
    int code = 2;
    try (Mesh mesh = new Mesh(Path.of(arguments[0]), Path.of(arguments[1]))) {
      Mesh.daemonThread(
          "watchdog",
          () -> {
            Mesh.sleep(LONGEST_MILLISECONDS);
            mesh.log("the case took too long");
            Runtime.getRuntime().exit(2);
          });
      try {
        mesh.log("disruption: %s", TROUBLE ? "yes" : "none");
        boolean holds = body.holds(mesh);
        mesh.log(holds ? "the rule held" : "the rule was broken");
        System.out.println(holds ? "the rule held" : "the rule was broken");
        code = holds ? 0 : 1;
      } catch (Exception | Error e) {
        mesh.log("the case could not run: %s", e);
        e.printStackTrace();
      }
    } catch (Exception e) {
      e.printStackTrace();
    }
    Runtime.getRuntime().exit(code);
  }

  static void require(boolean condition, String what) {
    if (!condition) {
      throw new IllegalStateException(what);
    }
  }
}
