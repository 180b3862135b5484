package review;

/** The configuration of the operator, with the figures of the first small site. */
final class Configurations {
  private static final String FIRST =
      """
      {"version":"r1","routes":{
        "lookup":{"host":"mesh.example","prefix":"/lookup/","kind":"safe","timeoutMs":800,
          "targetLatencyMs":300,"priority":2,"service":"notifier","maxAttempts":2},
        "booking":{"host":"mesh.example","prefix":"/booking/","kind":"unsafe","timeoutMs":400,
          "targetLatencyMs":400,"priority":1,"service":"scheduler","maxAttempts":2},
        "record":{"host":"mesh.example","prefix":"/record/","kind":"unsafe","timeoutMs":500,
          "targetLatencyMs":200,"priority":0,"service":"ledger","maxAttempts":2}},
       "services":{
        "notifier":{"healthPath":"/health","maxConnections":110,"coldStartS":3,"coldPerS":47},
        "scheduler":{"healthPath":"/health","maxConnections":110,"coldStartS":3,"coldPerS":47},
        "ledger":{"healthPath":"/health","maxConnections":110,"coldStartS":3,"coldPerS":47}},
       "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,
        "idleTimeoutMs":15000}}
      """;

  private Configurations() {}

  /** Writes the first version. */
  static void write(Stage stage) {
    stage.store.put("op", "config", FIRST);
  }

  /** Writes a version that moves the route of bookings to another service. */
  static void writeWithMovedBooking(Stage stage) {
    stage.store.put(
        "op",
        "config",
        FIRST
            .replace("\"r1\"", "\"r4\"")
            .replace(
                "\"priority\":1,\"service\":\"scheduler\"",
                "\"priority\":1,\"service\":\"notifier\""));
  }

  /** Writes a version with a route that is split evenly between two services. */
  static void writeWithSplitRoute(Stage stage) {
    stage.store.put(
        "op",
        "config",
        FIRST.replace(
            "\"routes\":{",
            """
            "routes":{
              "split":{"host":"mesh.example","prefix":"/split/","kind":"safe","timeoutMs":800,
                "targetLatencyMs":300,"priority":2,"maxAttempts":2,"weightedServices":[
                  {"service":"notifier","weight":1},{"service":"scheduler","weight":1}]},
            """));
  }
}
