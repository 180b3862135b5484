package org.parsleycart.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.parsleycart.daemon.TestMesh;
import org.parsleycart.link.http.HttpRequest;
import org.parsleycart.link.http.HttpResponse;

/** Calls to an upstream that never responds, as upstreams do that have no room for a request. */
class SilentUpstreamCallTest {
  private static final String CONFIGURATION =
      """
      zones: [{name: abdali}, {name: marka}]
      contracts:
        - {name: write, kind: non-idempotent-write, deadline: 300ms}
        - {name: upload, kind: upload, deadline: 300ms}
      services: [{name: album, version: v1}]
      routes:
        - {name: write-0, pathPrefix: /write/0, service: album, contract: write}
        - {name: write-1, pathPrefix: /write/1, service: album, contract: write}
        - {name: upload-0, pathPrefix: /upload/0, service: album, contract: upload}
        - {name: upload-1, pathPrefix: /upload/1, service: album, contract: upload}
      """;
  private static TestMesh mesh;
  private static ScriptedUpstream silent;

  @BeforeAll
  static void start() throws IOException {
    mesh = TestMesh.start("abdali", "marka");
    mesh.apply(CONFIGURATION);
    silent = new ScriptedUpstream();
    silent.respondWith("", false);
    mesh.announce(mesh.member(0), "a0", "album", "v1", silent.address());
    for (int member = 0; member < 2; member++) {
      mesh.awaitUpstreams(mesh.member(member), "album v1 abdali", 1);
    }
  }

  @AfterAll
  static void stop() throws IOException {
    mesh.close();
    silent.close();
  }

  @ParameterizedTest
  @CsvSource({"0, write", "1, write", "0, upload", "1, upload"})
  void shouldNotSendCallElsewhereWhenItRunsAtMostOnce(int member, String path) {
    int before = silent.requests();

    HttpResponse response =
        mesh.send(
            mesh.member(member).callers(),
            HttpRequest.of("POST", "/" + path + "/" + member).body("booking"));

    assertThat(response.status()).isEqualTo(504);
    assertThat(response.header("x-parsleycart-outcome")).contains("unknown");
    assertThat(silent.requests()).isEqualTo(before + 1);
  }
}
